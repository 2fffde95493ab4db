import { connectionFaults } from '../connection/connectionFaults.js';
import { startAgent } from '../process/agent/agentDaemon.js';
import { readClock } from '../process/agent/clock.js';
import { GroupMember } from '../process/group/groupMember.js';
import { createLogger, openLog } from '../process/logging.js';
import { Metrics } from '../process/metrics.js';
import { readSettings } from '../process/settings/readSettings.js';
import { isJsonOutput, readRequiredArgument } from './arguments.js';
import { createDistribution } from './createDistribution.js';
import { addDaemonOptions, printSettingsErrors, runDaemon } from './runDaemon.js';
import type { CliCommand } from './types.js';
import { exitCodes } from './types.js';

/** `parsleyfold agent --settings FILE`: runs an agent. */
export const agentCommand: CliCommand = {
  usage: 'agent',
  summary: 'run the agent next to one upstream; it is the only sender of work to that upstream',
  build: addDaemonOptions,
  run: async (args, output) => {
    const settings = readSettings(readRequiredArgument(args, 'settings'), 'agent');
    if (settings.isErr()) return printSettingsErrors(settings.error, isJsonOutput(args), output);
    if (args.check === true) return exitCodes.ok;
    const { options, logLevel } = settings.value;
    openLog(logLevel);
    const logger = createLogger(options.processId);
    connectionFaults.configure((fields, message) => {
      logger.warn(fields, message);
    });
    const parts = createDistribution(options, 'agent');
    const { store, distribution } = parts;
    const metrics = new Metrics();
    const group = new GroupMember({ ...options, configuration: store, logger, readClock });
    const daemon = await startAgent(options, {
      configuration: store,
      distribution,
      group,
      logger,
      metrics,
    });
    parts.startDistribution(daemon);
    return runDaemon(daemon, logger, output);
  },
};
