import type { Dispatcher } from 'undici';

/** The deadline passed before the request was sent. */
export class DeadlineExceededError extends Error {
  constructor() {
    super('deadline passed before the request was sent');
  }
}

/**
 * Wraps a dispatcher so that a request that has expired by the time of its first write is aborted.
 *
 * Without this check, a process that is paused while a connection is opened, or while a request waits for one, would
 * send work whose deadline has passed in the meantime.
 *
 * @param dispatcher - Dispatcher of the upstream
 * @param isExpired - Called right before the first write
 * @returns Dispatcher for this request
 */
export function guardExpiry(dispatcher: Dispatcher, isExpired: () => boolean): Dispatcher {
  return dispatcher.compose(
    (dispatch) => (options, handler) =>
      dispatch(options, {
        ...bindHandler(handler),
        onRequestStart: (controller, context) => {
          handler.onRequestStart?.(controller, context);
          if (isExpired()) controller.abort(new DeadlineExceededError());
        },
      }),
  );
}

/** Wraps the handler's methods in own properties, because spreading an object drops prototype methods. */
function bindHandler(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
  return {
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}
