import type { Dispatcher } from 'undici';

/** The deadline passed before the request left. */
export class DeadlineExceededError extends Error {
  constructor() {
    super('the deadline passed before the request was sent');
  }
}

/**
 * Wraps a dispatcher so that a request is dropped when it has expired by the time of its first write.
 *
 * A process that is paused while a connection is opened, or while a request waits for one, would otherwise send work
 * whose deadline passed meanwhile.
 *
 * @param dispatcher - Dispatcher of the upstream
 * @param isExpired - Asked right before the first write
 * @returns A dispatcher for this request
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

/** The handler's methods as own properties, so that a copy of it keeps them. */
function bindHandler(handler: Dispatcher.DispatchHandler): Dispatcher.DispatchHandler {
  return {
    onRequestUpgrade: (...args) => handler.onRequestUpgrade?.(...args),
    onResponseStart: (...args) => handler.onResponseStart?.(...args),
    onResponseData: (...args) => handler.onResponseData?.(...args),
    onResponseEnd: (...args) => handler.onResponseEnd?.(...args),
    onResponseError: (...args) => handler.onResponseError?.(...args),
  };
}
