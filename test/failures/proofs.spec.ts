import { expect } from 'chai';
import { proveAnswers } from '../../bench/proofs/answers.js';
import { proveLeaving } from '../../bench/proofs/leaving.js';
import { proveShutdown } from '../../bench/proofs/shutdown.js';
import type { RunOptions, RunResult } from '../../bench/types.js';

const TEST_TIMEOUT_MS = 60_000;

interface ProofCase {
  readonly fault: string;
  readonly prove: (options: RunOptions) => Promise<RunResult>;
  readonly count: number;
  /** Reads the figure that shows the failures of the naive version. */
  readonly readNaiveFailures: (naive: Readonly<Record<string, number>>) => number | undefined;
  readonly minNaiveFailures: number;
}

const cases: readonly ProofCase[] = [
  {
    fault: 'new work for a leaving upstream',
    prove: proveLeaving,
    count: 1,
    readNaiveFailures: (naive) => naive.last_new_work_s,
    minNaiveFailures: 3,
  },
  {
    fault: 'requests aborted by a graceful shutdown',
    prove: proveShutdown,
    count: 1,
    readNaiveFailures: (naive) => naive.cut,
    minNaiveFailures: 1,
  },
  {
    fault: 'wrong or truncated responses with frame faults and killed engines',
    prove: proveAnswers,
    count: 300,
    readNaiveFailures: ({ wrong = 0, truncated_as_whole: truncated = 0 }) => wrong + truncated,
    minNaiveFailures: 1,
  },
];

describe('proofs under real faults', function () {
  this.timeout(TEST_TIMEOUT_MS);
  const runs = new Map<string, Promise<RunResult>>();

  before(() => {
    // Run concurrently, because the proofs spend most of their time waiting for processes and timers.
    for (const { fault, prove, count } of cases) {
      const run = prove({ seed: 1, count });
      run.catch(() => undefined);
      runs.set(fault, run);
    }
  });

  for (const { fault, readNaiveFailures, minNaiveFailures } of cases) {
    it(`guards against ${fault}`, async () => {
      const result = (await runs.get(fault)) ?? {};
      expect(result.ok, JSON.stringify(result)).to.equal(true);
      const naive = readNaiveFailures(result.naive as Record<string, number>);
      expect(naive, JSON.stringify(result)).to.be.at.least(minNaiveFailures);
    });
  }
});
