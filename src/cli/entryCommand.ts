import { connectionFaults } from '../connection/connectionFaults.js';
import { startEntry } from '../process/entry/entryDaemon.js';
import { createLogger, openLog } from '../process/logging.js';
import { Metrics } from '../process/metrics.js';
import { readSettings } from '../process/settings/readSettings.js';
import { isJsonOutput, readRequiredArgument } from './arguments.js';
import { createDistribution } from './createDistribution.js';
import { addDaemonOptions, printSettingsErrors, runDaemon } from './runDaemon.js';
import type { CliCommand } from './types.js';
import { exitCodes } from './types.js';

/** `parsleyfold entry --settings FILE`: runs an entry. */
export const entryCommand: CliCommand = {
  usage: 'entry',
  summary: 'run an entry: accepts callers and routes their requests to agents',
  build: addDaemonOptions,
  run: async (args, output) => {
    const settings = readSettings(readRequiredArgument(args, 'settings'), 'entry');
    if (settings.isErr()) return printSettingsErrors(settings.error, isJsonOutput(args), output);
    if (args.check === true) return exitCodes.ok;
    const { options, logLevel } = settings.value;
    openLog(logLevel);
    const logger = createLogger(options.processId);
    connectionFaults.configure((fields, message) => {
      logger.warn(fields, message);
    });
    const parts = createDistribution(options, 'entry');
    const { store, distribution } = parts;
    const metrics = new Metrics();
    // The distribution opens the links to the seeds; with seeds, the daemon would open each a second time.
    const daemon = await startEntry(
      { ...options, seeds: [] },
      { configuration: store, distribution, logger, metrics },
    );
    parts.startDistribution(daemon);
    return runDaemon(daemon, logger, output);
  },
};
