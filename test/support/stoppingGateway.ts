import type { RawWorker } from '../standins/rawWorker.js';
import { startRawWorker } from '../standins/rawWorker.js';
import { startGatewayFixture } from './gatewayFixture.js';
import type { GatewayProgram } from './gatewayProgram.js';
import { startGatewayProgram, waitUntilProgramReady } from './gatewayProgram.js';
import type { Responder } from './stopFixture.js';
import { createStopRoutes, respondByPath } from './stopFixture.js';

export interface StoppingGatewayOptions {
  /** Time between SIGTERM and SIGKILL. */
  readonly stopLimitMs: number;
  readonly routeTimeoutMs: number;
  /** One for each upstream; by default there is one that answers by path. */
  readonly responders?: readonly Responder[];
  /** Slots of each upstream. */
  readonly slots?: number;
  /** Fields that replace those of all routes. */
  readonly routeFields?: object;
}

/** A gateway program with its store and upstreams, for tests that stop it. */
export interface StoppingGateway {
  readonly program: GatewayProgram;
  readonly workers: readonly RawWorker[];
  /** Ids of the requests that have reached an upstream. */
  listRuns(): string[];
  close(): Promise<void>;
}

/**
 * Starts a gateway program and waits until it is ready.
 *
 * @param options - Limits, routes and upstreams
 * @returns The running program
 */
export async function startStoppingGateway({
  stopLimitMs,
  routeTimeoutMs,
  responders = [respondByPath],
  slots = 32,
  routeFields = {},
}: StoppingGatewayOptions): Promise<StoppingGateway> {
  const workers = await Promise.all(
    responders.map((responder, index) =>
      startRawWorker(`i-${index}`, (socket, request) => void responder(socket, request)),
    ),
  );
  const fixture = await startGatewayFixture({ workers: 0, ownWorkers: workers, started: 0 });
  for (const worker of workers) fixture.publishWorker(worker, { slots });
  const routes = createStopRoutes(routeTimeoutMs).map((route) => ({ ...route, ...routeFields }));
  fixture.publishConfiguration(2, { routes });
  const program = await startGatewayProgram({ storePort: fixture.store.port, stopLimitMs });
  await waitUntilProgramReady(program);
  return {
    program,
    workers,
    listRuns: () => workers.flatMap(({ requests }) => requests).map(({ requestId }) => requestId),
    close: async () => {
      program.child.kill('SIGKILL');
      await fixture.close();
      for (const worker of workers) await worker.close();
    },
  };
}
