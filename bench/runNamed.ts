import yargs from 'yargs';
import type { NamedRun, RunResult } from './types.js';

const USAGE_EXIT_CODE = 2;
const DEFAULT_SEED = 1;

/**
 * Runs the bench or proof that the command line names and prints its result.
 *
 * The last line of the output is the result as JSON; without `--json`, indented JSON precedes it.
 *
 * @param kind - `bench` or `prove`, for the help
 * @param registry - Benches or proofs by name
 * @param argv - Arguments after the program name
 * @returns Exit code: 0 success, 1 failed check, 2 usage error
 */
export async function runNamed(
  kind: string,
  registry: Readonly<Record<string, NamedRun>>,
  argv: readonly string[],
): Promise<number> {
  const names = Object.keys(registry);
  const args = await yargs([...argv])
    .scriptName(kind)
    .usage(`$0 NAME [options]\n\n${describeRegistry(registry)}`)
    .option('seed', { type: 'number', default: DEFAULT_SEED, describe: 'seed' })
    .option('count', { type: 'number', alias: 'processes', describe: 'size of the run' })
    .option('json', { type: 'boolean', default: false, describe: 'print only the JSON line' })
    .help()
    .version(false)
    .parseAsync();
  const name = String(args._[0] ?? '');
  const entry = registry[name];
  if (entry === undefined || !Number.isInteger(args.seed)) {
    process.stderr.write(`${kind}: expected one of ${names.join(', ')}, and an integer --seed\n`);
    return USAGE_EXIT_CODE;
  }
  const options = { seed: args.seed, count: args.count ?? entry.defaultCount };
  const run = await entry.load();
  const result: RunResult = { name, ...options, ...(await run(options)) };
  if (!args.json) process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
  process.stdout.write(`${JSON.stringify(result)}\n`);
  return result.ok === false ? 1 : 0;
}

function describeRegistry(registry: Readonly<Record<string, NamedRun>>): string {
  return Object.entries(registry)
    .map(([name, entry]) => `  ${name}: ${entry.summary} (--count ${entry.defaultCount})`)
    .join('\n');
}
