import { agentCommand } from './agentCommand.js';
import { dumpCommand } from './dumpCommand.js';
import { entryCommand } from './entryCommand.js';
import { explainCommand } from './explainCommand.js';
import { orderCommand } from './orderCommand.js';
import { statusCommand } from './statusCommand.js';
import type { CliCommand } from './types.js';

/** Commands in the order of the help text. */
export const commands: readonly CliCommand[] = [
  entryCommand,
  agentCommand,
  dumpCommand,
  statusCommand,
  explainCommand,
  orderCommand,
];
