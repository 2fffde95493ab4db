import { Agent, request } from 'undici';
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
  const dispatcher = new Agent({ pipelining: 1, headersTimeout: 0, bodyTimeout: 0 });

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
      const signal = AbortSignal.timeout(timeoutMs);
      const answer = await request(url, { method: 'HEAD', dispatcher, signal });
      await answer.body.dump();
      return { running: 0, steps: 0 };
    } catch {
      return undefined;
    }
  };

  const prove = async (timeoutMs: number): Promise<boolean> =>
    (await readLoad(timeoutMs)) !== undefined;

  const close = (): Promise<void> => dispatcher.destroy();
  return { preemptible: false, run, readLoad, prove, close };
}
