import { readRequiredArgument, isJsonOutput } from './arguments.js';
import { addOperatorOptions, fetchOperatorJson } from './operatorClient.js';
import { renderTree } from './render.js';
import type { CliCommand } from './types.js';
import { exitCodes } from './types.js';

/** `parsleyfold dump ADDRESS`: prints the state of a process. */
export const dumpCommand: CliCommand = {
  usage: 'dump <address>',
  summary: 'print the state of a process from its operator port',
  build: (yargs) =>
    addOperatorOptions(yargs).positional('address', {
      type: 'string',
      describe: 'ip:port of the operator port',
    }),
  run: async (args, output) => {
    const state = await fetchOperatorJson(args, readRequiredArgument(args, 'address'), '/dump');
    if (state.isErr()) {
      output.printError(state.error);
      return exitCodes.failed;
    }
    output.print(isJsonOutput(args) ? JSON.stringify(state.value) : renderTree(state.value));
    return exitCodes.ok;
  },
};
