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
  let run: Promise<RunResult> | undefined;

  // A proof that has exceeded its time still runs dozens of processes, beside which later tests fail.
  afterEach(async () => {
    await run?.catch(() => undefined);
    run = undefined;
  });

  for (const { fault, prove, count, readNaiveFailures, minNaiveFailures } of cases) {
    it(`guards against ${fault}`, async () => {
      run = prove({ seed: 1, count });
      const result = await run;
      expect(result.ok, JSON.stringify(result)).to.equal(true);
      const naive = readNaiveFailures(result.naive as Record<string, number>);
      expect(naive, JSON.stringify(result)).to.be.at.least(minNaiveFailures);
    });
  }
});
