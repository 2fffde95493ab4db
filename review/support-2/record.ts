import { writeFileSync } from 'node:fs';

/** Exit codes of a case: the rule held, the rule was broken, and the case could not run. */
export const exitCodes = { held: 0, broken: 1, failed: 2 } as const;

const startedAt = performance.now();
const lines: string[] = [];

/**
 * Adds a line to the record of a case.
 *
 * @param text - What was sent, answered or run
 */
export function record(text: string): void {
  const seconds = ((performance.now() - startedAt) / 1000).toFixed(3);
  lines.push(`${seconds} ${text}`);
}

/**
 * Runs a case, writes its record and ends this process with its exit code.
 *
 * @param directory - Folder of the case
 * @param run - Runs the case; resolves with whether the rule was broken
 * @param timeoutMs - Time after which the case counts as one that could not run
 */
export async function runCase(
  directory: string,
  run: () => Promise<boolean>,
  timeoutMs = 110_000,
): Promise<never> {
  const timeout = new Promise<never>((_resolve, reject) => {
    setTimeout(() => {
      reject(new Error('the case took too long'));
    }, timeoutMs);
  });
  let code: number;
  try {
    const isBroken = await Promise.race([run(), timeout]);
    record(isBroken ? 'result: the rule was broken' : 'result: the rule held');
    code = isBroken ? exitCodes.broken : exitCodes.held;
  } catch (error) {
    record(`result: the case could not run: ${String(error)}`);
    code = exitCodes.failed;
  }
  writeFileSync(`${directory}/record.txt`, `${lines.join('\n')}\n`);
  console.log(lines.at(-1));
  process.exit(code);
}
