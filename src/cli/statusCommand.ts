import { isJsonOutput, readListArgument } from './arguments.js';
import { addOperatorOptions, fetchOperatorJson } from './operatorClient.js';
import { renderTable } from './render.js';
import type { CliCommand } from './types.js';
import { exitCodes } from './types.js';

interface StatusRow {
  readonly address: string;
  readonly reachable: boolean;
  readonly health: Readonly<Record<string, unknown>>;
  readonly error: string;
}

/** `parsleyfold status ADDRESS...`: prints one line per process. */
export const statusCommand: CliCommand = {
  usage: 'status <addresses..>',
  summary: 'print one line of health per process; exit code 1 if any is unreachable',
  build: (yargs) =>
    addOperatorOptions(yargs).positional('addresses', {
      type: 'string',
      array: true,
      describe: 'ip:port of operator ports',
    }),
  run: async (args, output) => {
    const addresses = readListArgument(args, 'addresses');
    const rows = await Promise.all(
      addresses.map(async (address): Promise<StatusRow> => {
        const health = await fetchOperatorJson(args, address, '/healthz');
        if (health.isErr()) return { address, reachable: false, health: {}, error: health.error };
        const fields = health.value as Readonly<Record<string, unknown>>;
        return { address, reachable: true, health: fields, error: '' };
      }),
    );
    output.print(isJsonOutput(args) ? JSON.stringify(rows) : renderStatus(rows));
    return rows.every((row) => row.reachable) ? exitCodes.ok : exitCodes.failed;
  },
};

function renderStatus(rows: readonly StatusRow[]): string {
  const cells = rows.map((row) => [
    row.address,
    row.reachable ? 'reachable' : 'unreachable',
    row.reachable ? formatHealth(row.health) : row.error,
  ]);
  return renderTable(['ADDRESS', 'STATE', 'DETAILS'], cells);
}

function formatHealth(health: Readonly<Record<string, unknown>>): string {
  return Object.entries(health)
    .map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`)
    .join(' ');
}
