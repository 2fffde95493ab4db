import { writeFileSync } from 'node:fs';
import { join } from 'node:path';

/** Ends the run before the limit of 120 s. */
const RUN_LIMIT_MS = 116_000;
const EXIT_HELD = 0;
const EXIT_BROKEN = 1;
const EXIT_NOT_RUN = 2;

export interface CaseContext {
  /** False for the run without the disruption. */
  readonly hasTrouble: boolean;
  /** Milliseconds since the start of the run. */
  readonly readClock: () => number;
  /** Writes a line to the record. */
  readonly record: (line: string) => void;
  /** Registers what has to be ended with the run. */
  readonly onEnd: (end: () => unknown) => void;
}

/**
 * Runs a case and ends the process with its result.
 *
 * @param name - Folder of the case
 * @param play - Plays the case, and returns the breaches of the rule
 */
export async function runCase(
  name: string,
  play: (context: CaseContext) => Promise<string[]>,
): Promise<void> {
  const file = join('review', name, 'record.txt');
  const lines: string[] = [];
  const startedAt = performance.now();
  const ends: (() => unknown)[] = [];
  const readClock = (): number => Math.round(performance.now() - startedAt);
  const record = (line: string): void => {
    lines.push(`${(readClock() / 1_000).toFixed(3)} ${line}\n`);
  };
  const context: CaseContext = {
    hasTrouble: process.env.TROUBLE !== '0',
    readClock,
    record,
    onEnd: (end) => ends.push(end),
  };
  const limit = new Promise<never>((_resolve, reject) => {
    setTimeout(() => {
      reject(new Error('time limit of the run'));
    }, RUN_LIMIT_MS).unref();
  });
  let code = EXIT_NOT_RUN;
  try {
    const breaches = await Promise.race([play(context), limit]);
    for (const breach of breaches) record(`BROKEN ${breach}`);
    record(breaches.length === 0 ? 'result: held' : `result: broken ${breaches.length} times`);
    code = breaches.length === 0 ? EXIT_HELD : EXIT_BROKEN;
  } catch (error) {
    record(`result: could not run: ${String(error)}`);
  }
  for (const end of ends.reverse()) await end();
  writeFileSync(file, lines.join(''));
  process.stdout.write(`case ${name}: exit ${code}\n`);
  process.exit(code);
}
