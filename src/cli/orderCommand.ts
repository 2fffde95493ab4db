import type { Result } from 'ts-results-es';
import { Err } from 'ts-results-es';
import { CallerClient } from '../client/callerClient.js';
import type { CallerError, OrderOutcome } from '../client/types.js';
import { parseOrderId } from '../protocol/orderId.js';
import { isJsonOutput, readRequiredArgument } from './arguments.js';
import { renderTree } from './render.js';
import type { CliCommand } from './types.js';
import { exitCodes } from './types.js';

type OrderAction = (
  client: CallerClient,
  service: string,
  order: string,
) => Promise<Result<OrderOutcome, CallerError>>;

const actions: Readonly<Record<string, OrderAction>> = {
  get: (client, service, order) => client.readOrder(service, order),
  cancel: (client, service, order) => client.cancelOrder(service, order),
};

/** `parsleyfold order get|cancel ENTRY ORDER`: reads or cancels an order. */
export const orderCommand: CliCommand = {
  usage: 'order <action> <entry> <order>',
  summary: 'read the outcome of an order, or cancel one that has not run',
  build: (yargs) =>
    yargs
      .positional('action', { type: 'string', choices: Object.keys(actions) })
      .positional('entry', { type: 'string', describe: "ip:port or URL of an entry's HTTP port" })
      .positional('order', { type: 'string', describe: 'order id' })
      .option('token', {
        type: 'string',
        demandOption: true,
        describe: 'bearer token of the workspace that placed the order',
      }),
  run: async (args, output) => {
    const outcome = await performAction(
      readRequiredArgument(args, 'action'),
      readRequiredArgument(args, 'entry'),
      readRequiredArgument(args, 'order'),
      readRequiredArgument(args, 'token'),
    );
    if (outcome.isErr()) {
      const { code, message } = outcome.error;
      output.printError(`${code}: ${message}`);
      return code === 'usage' ? exitCodes.usage : exitCodes.failed;
    }
    output.print(isJsonOutput(args) ? JSON.stringify(outcome.value) : renderTree(outcome.value));
    return exitCodes.ok;
  },
};

async function performAction(
  action: string,
  entry: string,
  order: string,
  token: string,
): Promise<Result<OrderOutcome, CallerError>> {
  const parts = parseOrderId(order);
  const perform = actions[action];
  if (parts.isErr()) return Err({ code: 'usage', message: parts.error, status: 0 });
  if (perform === undefined)
    return Err({ code: 'usage', message: `unknown action ${action}`, status: 0 });
  const url = entry.includes('://') ? entry : `http://${entry}`;
  const client = new CallerClient({ entries: [url], token });
  try {
    return await perform(client, parts.value.service, order);
  } finally {
    await client.close();
  }
}
