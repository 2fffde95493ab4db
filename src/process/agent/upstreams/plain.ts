import { BoundedClient } from '../../../connection/boundedClient.js';
import { createFailedResult } from './failure.js';
import { sendDedicated } from './sendDedicated.js';
import type { Exchange, ExchangeResult, UpstreamAdapter, UpstreamLoad } from './types.js';

const REFUSED_STATUS = 503;

/**
 * Creates the adapter for ordinary HTTP services.
 *
 * @param url - Base URL of the service
 * @param hasPaused - Whether this process was paused shortly before
 * @returns The adapter
 */
export function createPlainAdapter(url: string, hasPaused: () => boolean): UpstreamAdapter {
  const client = new BoundedClient();

  const run = async (exchange: Exchange): Promise<ExchangeResult> => {
    const { signal } = exchange;
    try {
      const { status, body } = await sendDedicated({
        url: `${url}/calls`,
        body: exchange.body,
        signal,
        hasPaused,
      });
      if (status === REFUSED_STATUS) {
        const message = 'service refused the call';
        const flags = { started: false, possibleCrash: false, unreachable: false };
        return { kind: 'failed', code: 'upstream_refused', message, ...flags };
      }
      return { kind: 'done', status, body, finishReason: 'stop', promptTokens: 0 };
    } catch (error) {
      return createFailedResult(error, signal.aborted);
    }
  };

  /** Any HTTP response shows that the process runs; plain services have no load counters. */
  const readLoad = async (timeoutMs: number): Promise<UpstreamLoad | undefined> => {
    try {
      await client.send(url, { method: 'HEAD', maxBytes: 0, timeoutMs });
      return { running: 0, steps: 0 };
    } catch {
      return undefined;
    }
  };

  const prove = async (timeoutMs: number): Promise<boolean> =>
    (await readLoad(timeoutMs)) !== undefined;

  const close = (): Promise<void> => {
    client.close();
    return Promise.resolve();
  };
  return { preemptible: false, run, readLoad, prove, close };
}
