import type { Argv } from 'yargs';
import { installErrorGuard } from '../process/errorGuard.js';
import type { Logger } from '../process/logging.js';
import type { SettingsError } from '../process/settings/readSettings.js';
import type { Daemon } from '../process/types.js';
import type { CliOutput } from './types.js';
import { exitCodes } from './types.js';

/** Time after which the process exits even if sockets of the stopped daemon are still open. */
const EXIT_TIMEOUT_MS = 1_000;

interface SignalSource {
  on(signal: NodeJS.Signals, listener: () => void): unknown;
  off(signal: NodeJS.Signals, listener: () => void): unknown;
}

/**
 * Declares the options of the commands that run a daemon.
 *
 * @param yargs - Command under construction
 * @returns The same command
 */
export function addDaemonOptions(yargs: Argv): Argv {
  return yargs
    .option('settings', { type: 'string', demandOption: true, describe: 'settings file (INI)' })
    .option('check', { type: 'boolean', default: false, describe: 'check the settings and exit' });
}

/**
 * Prints errors in the settings.
 *
 * @param problems - Invalid keys
 * @param json - Print one JSON line
 * @param output - Output of the command
 * @returns Exit code 2
 */
export function printSettingsErrors(
  problems: readonly SettingsError[],
  json: boolean,
  output: CliOutput,
): number {
  if (json) output.print(JSON.stringify({ problems }));
  for (const { file, key, message } of json ? [] : problems) {
    output.printError(`${file}: ${key}: ${message}`);
  }
  return exitCodes.usage;
}

/**
 * Prints the ready line and runs a daemon until a signal stops it.
 *
 * The first SIGTERM or SIGINT starts a graceful shutdown; the second one stops the daemon immediately.
 *
 * @param daemon - Started daemon
 * @param logger - Logger of the process
 * @param output - Output for the ready line
 * @param signals - The process, or a substitute in tests
 * @returns Exit code: 0 after a graceful shutdown, 1 if a second signal interrupted it
 */
export async function runDaemon(
  daemon: Daemon & { readonly httpPort?: number },
  logger: Logger,
  output: CliOutput,
  signals: SignalSource = process,
): Promise<number> {
  if (signals === process) installErrorGuard(logger);
  const { linkPort, operatorPort, httpPort } = daemon;
  const ports =
    httpPort === undefined ? { linkPort, operatorPort } : { linkPort, operatorPort, httpPort };
  output.print(JSON.stringify({ ready: true, ...ports }));
  const code = await waitForShutdown(daemon, logger, signals);
  if (signals === process) setTimeout(() => process.exit(code), EXIT_TIMEOUT_MS).unref();
  return code;
}

function waitForShutdown(daemon: Daemon, logger: Logger, signals: SignalSource): Promise<number> {
  return new Promise((resolve) => {
    let received = 0;
    const finish = (code: number): void => {
      for (const signal of ['SIGTERM', 'SIGINT'] as const) signals.off(signal, handleSignal);
      resolve(code);
    };
    const handleSignal = (): void => {
      received += 1;
      if (received === 1) {
        logger.info({}, 'draining');
        void drain(daemon).then(() => {
          if (received === 1) finish(exitCodes.ok);
        });
      }
      if (received === 2) {
        logger.error(
          { unfinished: JSON.stringify(daemon.dump()) },
          'second signal: stopping with unfinished requests',
        );
        void daemon.stop().then(() => {
          finish(exitCodes.failed);
        });
      }
    };
    for (const signal of ['SIGTERM', 'SIGINT'] as const) signals.on(signal, handleSignal);
  });
}

async function drain(daemon: Daemon): Promise<void> {
  await daemon.drain();
  await daemon.stop();
}
