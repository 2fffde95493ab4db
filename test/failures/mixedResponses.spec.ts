import { expect } from 'chai';
import seedrandom from 'seedrandom';
import type { FaultyWorkers } from '../standins/faultyWorkers.js';
import { startFaultyWorkers } from '../standins/faultyWorkers.js';
import { startNaiveGateway } from '../standins/naiveGateway.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import type { MixResult } from '../support/mixCallers.js';
import { runMixCaller } from '../support/mixCallers.js';
import type { RunningProcess } from '../support/processes.js';
import { startProcess, stopProcess } from '../support/processes.js';
import { waitMs } from '../support/waiting.js';

const FIRST_SEED = Number(process.env.MIX_FIRST_SEED ?? 1);
/** Seeds of one run; set the variable for a longer run by hand. */
const SEEDS = Number(process.env.MIX_SEEDS ?? 2);
const SEED_TIMEOUT_MS = 30_000;
const WORKERS = 6;
const CALLERS = 6;
const ROUNDS = 8;
/** The proxy answers quickly, so it can be given enough requests for every kind of fault. */
const NAIVE_ROUNDS = 60;
const MAX_PAUSE_MS = 300;
const MAX_RUN_MS = 200;

/** Runs all callers of a seed; `pause` is called until they have finished. */
async function runCallers(
  url: string,
  seed: string,
  rounds: number,
  workers: FaultyWorkers,
  pause: (random: () => number) => Promise<void>,
): Promise<MixResult> {
  const result: MixResult = { findings: [], counts: {} };
  const controller = new AbortController();
  const random = seedrandom(`${seed}/pauses`);
  const pausing = (async () => {
    while (!controller.signal.aborted) await pause(random);
  })();
  await Promise.all(
    Array.from({ length: CALLERS }, (_, index) =>
      runMixCaller({ url, seed, name: `c${index}`, rounds, workers }, result),
    ),
  );
  controller.abort();
  await pausing;
  return result;
}

describe('responses of faulty workers', () => {
  let gateway: RunningProcess | undefined;
  let workers: FaultyWorkers | undefined;
  afterEach(async () => {
    if (gateway !== undefined) await stopProcess(gateway);
    gateway = undefined;
    for (const worker of workers?.workers ?? []) await worker.close();
  });

  const pauseGateway = async (random: () => number): Promise<void> => {
    await waitMs(random() * MAX_RUN_MS);
    gateway?.send('SIGSTOP');
    await waitMs(random() * MAX_PAUSE_MS);
    gateway?.send('SIGCONT');
  };

  // A gateway must not deliver responses that are foreign, unsigned, cut or surplus, whatever its workers send.
  it('guards against foreign, unsigned, cut and surplus responses from faulty workers', async function () {
    this.timeout(SEED_TIMEOUT_MS * SEEDS);
    const found: string[] = [];
    for (let seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed += 1) {
      workers = await startFaultyWorkers(String(seed), WORKERS);
      const fixture = await startGatewayFixture({ workers: 0, ownWorkers: workers.workers });
      gateway = await startProcess('gateway', 'test/support/gatewayHost.ts', [
        String(fixture.store.port),
      ]);
      const { findings, counts } = await runCallers(
        String(gateway.ready.url),
        String(seed),
        ROUNDS,
        workers,
        pauseGateway,
      );
      process.stdout.write(`MIX seed ${seed} ${JSON.stringify({ counts, findings })}\n`);
      gateway.send('SIGKILL');
      await gateway.exited;
      await fixture.close();
      for (const worker of workers.workers) await worker.close();
      found.push(...findings.map((finding) => `seed ${seed}: ${finding}`));
    }
    expect(found).to.deep.equal([]);
  });

  // The same callers must find the faults of a proxy that forwards what it receives.
  it('shows that a proxy without checks delivers such responses', async () => {
    workers = await startFaultyWorkers('naive', WORKERS);
    const naive = await startNaiveGateway(workers.workers.map(({ port }) => port));
    const { findings } = await runCallers(naive.url, 'naive', NAIVE_ROUNDS, workers, () =>
      waitMs(MAX_RUN_MS),
    );
    await naive.close();
    const kinds = new Set(findings.map((finding) => finding.replace(/^\S+ | \(.*$/g, '')));
    expect([...kinds].join('\n')).to.include('id of another request');
    expect([...kinds].join('\n')).to.include('success without signature');
    expect([...kinds].join('\n')).to.match(/complete response with \d+ bytes of/);
  });
});
