import { callGateway } from './gatewayFixture.js';
import { waitMs } from './waiting.js';

/** Identifies the gateway of a request at the upstream; forwarded like any header of a caller. */
export const GATEWAY_HEADER = 'x-gateway';

const LIMIT_HEADER = 'server-limit';

/** Callers that send requests without pause until stopped. */
export interface BusyCallers {
  /** When each gateway first forwarded a response that states a rate limit. */
  readonly toldAt: ReadonlyMap<string, number>;
  readonly statuses: ReadonlyMap<number, number>;
  stop(): Promise<void>;
}

/**
 * Starts callers that send lookups through all gateways.
 *
 * @param urls - Base URLs of the gateways; looked up for each request, as a restarted gateway has a new one
 * @param options - Callers for each gateway and the pause of each between two requests, milliseconds
 * @returns The running callers
 */
export function startBusyCallers(
  urls: readonly string[],
  options: { readonly perGateway: number; readonly pauseMs: number },
): BusyCallers {
  const toldAt = new Map<string, number>();
  const statuses = new Map<number, number>();
  let isStopped = false;
  const runCaller = async (index: number): Promise<void> => {
    const gateway = String(index);
    while (!isStopped) {
      const status = await callGateway(urls[index] ?? '', '/lookup/a', {
        [GATEWAY_HEADER]: gateway,
      })
        .then(({ status: code, headers }) => {
          const isTold = headers[LIMIT_HEADER] !== undefined && !toldAt.has(gateway);
          if (isTold) toldAt.set(gateway, performance.now());
          return code;
        })
        // A gateway that is stopped or restarting refuses connections.
        .catch(() => 0);
      statuses.set(status, (statuses.get(status) ?? 0) + 1);
      await waitMs(options.pauseMs);
    }
  };
  const running = urls.flatMap((_url, index) =>
    Array.from({ length: options.perGateway }, () => runCaller(index)),
  );
  return {
    toldAt,
    statuses,
    stop: async () => {
      isStopped = true;
      await Promise.all(running);
    },
  };
}
