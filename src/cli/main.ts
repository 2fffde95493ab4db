import { realpathSync } from 'node:fs';
import { pathToFileURL } from 'node:url';
import yargs from 'yargs';
import { commands } from './registry.js';
import { ticketCommand } from './ticketCommand.js';
import type { CliOutput } from './types.js';
import { exitCodes } from './types.js';

class UsageError extends Error {}

const processOutput: CliOutput = {
  print: (line) => {
    process.stdout.write(`${line}\n`);
  },
  printError: (line) => {
    process.stderr.write(`${line}\n`);
  },
};

/**
 * Runs one command line.
 *
 * @param argv - Arguments after the program name
 * @param output - Output of the command; the standard streams of the process by default
 * @returns Exit code: 0 success, 1 failure, 2 usage or settings error
 */
export async function runCli(
  argv: readonly string[],
  output: CliOutput = processOutput,
): Promise<number> {
  let exitCode: number = exitCodes.ok;
  const parser = yargs([...argv])
    .scriptName('parsleyfold')
    .usage('$0 <command> [options]')
    .option('json', { type: 'boolean', default: false, describe: 'print JSON' })
    .exitProcess(false)
    .strict()
    .demandCommand(1, 'a command is required')
    .fail((message, error) => {
      throw new UsageError(message || error.message);
    })
    .command({
      ...ticketCommand,
      handler: async (args) => {
        await ticketCommand.handler(args);
        exitCode = Number(process.exitCode ?? exitCodes.ok);
      },
    })
    .help()
    .version(false);
  for (const command of commands) {
    parser.command(
      command.usage,
      command.summary,
      (builder) => command.build(builder),
      async (args) => {
        exitCode = await runCommand(() => command.run(args, output), output);
      },
    );
  }
  try {
    await parser.parseAsync([...argv], {}, (_error, _args, text) => {
      if (text !== '') output.print(text);
    });
  } catch (error) {
    if (!(error instanceof UsageError)) throw error;
    output.printError(error.message);
    output.printError('parsleyfold --help lists the commands and options');
    return exitCodes.usage;
  }
  return exitCode;
}

/** Catches errors of a command, which yargs would otherwise report as usage errors. */
async function runCommand(run: () => Promise<number>, output: CliOutput): Promise<number> {
  try {
    return await run();
  } catch (error) {
    output.printError(error instanceof Error ? (error.stack ?? error.message) : String(error));
    return exitCodes.failed;
  }
}

function isMainModule(): boolean {
  const script = process.argv[1];
  if (script === undefined) return false;
  return pathToFileURL(realpathSync(script)).href === import.meta.url;
}

if (isMainModule()) process.exitCode = await runCli(process.argv.slice(2));
