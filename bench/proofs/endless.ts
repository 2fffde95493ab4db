import seedrandom from 'seedrandom';
import { endlessParts } from '../../test/standins/endlessWorker.js';
import type { EndlessLoad, EndlessOutcome } from '../../test/support/endlessCrowd.js';
import { listViolations, runEndlessLoad } from '../../test/support/endlessCrowd.js';
import type { RunOptions, RunResult } from '../types.js';

const DURATION_MS = 12_000;
const MIN_CALLERS = 4;
const MAX_CALLERS = 80;
const MAX_PARTS = 6;
const PATHS = ['/lookup/1', '/pay/1', '/chat/1', '/talk/1'];

interface Round {
  readonly seed: number;
  readonly parts: readonly string[];
  readonly callers: number;
  readonly violations: readonly string[];
  readonly figures: object;
}

/**
 * Lets upstreams of drawn kinds send bytes without end, and checks that the gateway and the callers of another upstream do
 * not suffer.
 *
 * @param options - First seed, and number of seeds
 * @returns The rounds; `ok` is false if a bound was broken in any
 */
export async function proveEndless({ seed, count }: RunOptions): Promise<RunResult> {
  const rounds: Round[] = [];
  for (let current = seed; current < seed + count; current += 1) {
    const load = drawLoad(current);
    const outcome = await runEndlessLoad(load);
    const { parts, callers } = load;
    const violations = listViolations(outcome);
    const figures = summarizeOutcome(outcome);
    rounds.push({ seed: current, parts, callers, violations, figures });
    process.stderr.write(`${JSON.stringify(rounds.at(-1))}\n`);
  }
  return { ok: rounds.every(({ violations }) => violations.length === 0), rounds };
}

function drawLoad(seed: number): EndlessLoad {
  const random = seedrandom(String(seed));
  const draw = <Item>(items: readonly Item[]): Item =>
    items[Math.floor(random() * items.length)] as Item;
  const parts = Array.from({ length: 1 + Math.floor(random() * MAX_PARTS) }, () =>
    draw(endlessParts),
  );
  const callers = MIN_CALLERS + Math.floor(random() * (MAX_CALLERS - MIN_CALLERS + 1));
  return { parts, callers, paths: PATHS, durationMs: DURATION_MS, isStopped: random() < 0.5 };
}

/**
 * Lists the figures of an outcome.
 *
 * @param outcome - What a load has led to
 * @returns Figures, without logs
 */
function summarizeOutcome(outcome: EndlessOutcome): object {
  const { exit, isStopped, peakBytes, lost, sentBytes } = outcome;
  const peakMb = Math.round(peakBytes / 1024 / 1024);
  const sentMb = Math.round(sentBytes / 1024 / 1024);
  const [ordinary, others] = [outcome.ordinary, outcome.others].map((summary) => ({
    ...summary,
    cutIds: undefined,
  }));
  return { exit, isStopped, peakMb, lost, ordinary, others, sentMb };
}
