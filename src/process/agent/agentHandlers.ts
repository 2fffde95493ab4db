import type { MessageHandlers } from '../../connection/peerLink.js';
import type { LoadReporter } from './loadReport.js';
import type { OrderRunner } from './orderRunner.js';
import type { RequestRunner } from './requestRunner.js';

export interface HandlerTargets {
  readonly reporter: LoadReporter;
  readonly requests: RequestRunner;
  /** Undefined until the link port is bound, because order ids contain it. No link exists before that. */
  readonly getOrderRunner: () => OrderRunner | undefined;
}

/**
 * Creates the handlers for messages from entries.
 *
 * @param targets - Components that the messages are dispatched to
 * @returns Handlers by message type
 */
export function createHandlers({
  reporter,
  requests,
  getOrderRunner,
}: HandlerTargets): MessageHandlers {
  return {
    request: (message, link) => {
      reporter.countReceivedRequest(link);
      requests.accept(message, link);
      reporter.schedule();
    },
    cancel: (message, link) => {
      requests.cancel(message.attempt, link);
    },
    slotRequest: (message, link) => {
      getOrderRunner()?.issue(message, link);
    },
    orderPut: (message, link) => {
      getOrderRunner()?.put(message, link);
    },
    orderGet: (message, link) => {
      getOrderRunner()?.get(message, link);
    },
    orderCancel: (message, link) => {
      getOrderRunner()?.cancel(message, link);
    },
  };
}
