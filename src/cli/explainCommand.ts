import { isJsonOutput, readRequiredArgument, readStringArgument } from './arguments.js';
import { addOperatorOptions, fetchOperatorJson } from './operatorClient.js';
import { renderTree } from './render.js';
import type { CliCommand } from './types.js';
import { exitCodes } from './types.js';

/** `parsleyfold explain ADDRESS`: prints how an entry would route a request. */
export const explainCommand: CliCommand = {
  usage: 'explain <address>',
  summary: 'print which agent an entry would route a request to, and why',
  build: (yargs) =>
    addOperatorOptions(yargs)
      .positional('address', { type: 'string', describe: "ip:port of the entry's operator port" })
      .option('service', { type: 'string', demandOption: true, describe: 'service id' })
      .option('prefix', { type: 'string', default: '', describe: 'beginning of the prompt' }),
  run: async (args, output) => {
    const query = new URLSearchParams({
      service: readRequiredArgument(args, 'service'),
      prefix: readStringArgument(args, 'prefix') ?? '',
    });
    const address = readRequiredArgument(args, 'address');
    const answer = await fetchOperatorJson(args, address, `/explain?${query.toString()}`);
    if (answer.isErr()) {
      output.printError(answer.error);
      return exitCodes.failed;
    }
    output.print(isJsonOutput(args) ? JSON.stringify(answer.value) : renderTree(answer.value));
    return exitCodes.ok;
  },
};
