import type { Argv, ArgumentsCamelCase } from 'yargs';

/** Exit codes of every command. */
export const exitCodes = { ok: 0, failed: 1, usage: 2 } as const;

/** Output of a command; replaced in tests. */
export interface CliOutput {
  /** Writes one line to standard output. */
  print(line: string): void;
  /** Writes one line to standard error. */
  printError(line: string): void;
}

/** Arguments as parsed by yargs. */
export type CliArguments = ArgumentsCamelCase<Record<string, unknown>>;

export interface CliCommand {
  /** Name and positional arguments in yargs notation. */
  readonly usage: string;
  readonly summary: string;
  /** Declares options and positional arguments. */
  build(yargs: Argv): Argv;
  /** Runs the command and resolves with its exit code. */
  run(args: CliArguments, output: CliOutput): Promise<number>;
}
