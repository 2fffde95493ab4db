import type { MessageHandlers } from '../../connection/peerLink.js';
import type { LoadReporter } from './loadReport.js';
import type { OrderRunner } from './orderRunner.js';
import type { RequestRunner } from './requestRunner.js';

export interface HandlerTargets {
  readonly reporter: LoadReporter;
  readonly requests: RequestRunner;
  /** Absent until the link port is bound, since order ids carry it; no link exists before. */
  readonly getOrderRunner: () => OrderRunner | undefined;
}

/**
 * Creates the handlers of messages from entries.
 *
 * @param targets - Parts of the agent
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
