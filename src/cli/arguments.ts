import type { CliArguments } from './types.js';

/**
 * Reads a string argument.
 *
 * @param args - Parsed arguments
 * @param name - Argument name
 * @returns The value, or undefined if it was not given
 */
export function readStringArgument(args: CliArguments, name: string): string | undefined {
  const value = args[name];
  if (typeof value === 'string') return value;
  return typeof value === 'number' ? value.toString() : undefined;
}

/**
 * Reads an argument that yargs enforces as required.
 *
 * @param args - Parsed arguments
 * @param name - Argument name
 * @returns The value
 * @throws Error if the command does not declare the argument as required
 */
export function readRequiredArgument(args: CliArguments, name: string): string {
  const value = readStringArgument(args, name);
  if (value === undefined) throw new Error(`argument ${name} is not declared as required`);
  return value;
}

/**
 * Reads a list argument.
 *
 * @param args - Parsed arguments
 * @param name - Argument name
 * @returns The values, empty if none were given
 */
export function readListArgument(args: CliArguments, name: string): string[] {
  const value = args[name];
  return Array.isArray(value) ? value.map(String) : [];
}

/**
 * Checks whether JSON output was requested.
 *
 * @param args - Parsed arguments
 * @returns True with `--json`
 */
export function isJsonOutput(args: CliArguments): boolean {
  return args.json === true;
}
