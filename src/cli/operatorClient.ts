import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { Argv } from 'yargs';
import { BoundedClient } from '../connection/boundedClient.js';
import { readTlsMaterial } from '../connection/tlsOptions.js';
import { defaults } from '../defaults.js';
import { readStringArgument } from './arguments.js';
import type { CliArguments } from './types.js';

const HTTP_OK = 200;
const REQUEST_TIMEOUT_MS = 5_000;

/**
 * Declares the options of commands that read an operator port.
 *
 * @param yargs - Command under construction
 * @returns The same command
 */
export function addOperatorOptions(yargs: Argv): Argv {
  return yargs
    .option('cert', { type: 'string', describe: 'client certificate, PEM file' })
    .option('key', { type: 'string', describe: 'client key, PEM file' })
    .option('ca', { type: 'string', describe: 'certificate authority, PEM file' });
}

interface OperatorTarget {
  readonly url: string;
  readonly client: BoundedClient;
}

/**
 * Reads a JSON route of an operator port.
 *
 * @param args - Arguments with `cert`, `key` and `ca`; all three select mutual TLS
 * @param address - `ip:port` of the operator port
 * @param path - Route including its query string
 * @returns The JSON value, or why it could not be read
 */
export async function fetchOperatorJson(
  args: CliArguments,
  address: string,
  path: string,
): Promise<Result<unknown, string>> {
  const target = openTarget(args, address);
  if (target.isErr()) return target;
  const { url, client } = target.value;
  try {
    const response = await client.send(url + path, {
      method: 'GET',
      maxBytes: defaults.maxResponseBodyBytes,
      timeoutMs: REQUEST_TIMEOUT_MS,
    });
    const text = new TextDecoder().decode(response.body);
    if (response.status !== HTTP_OK) {
      return Err(`${address}${path}: HTTP ${response.status} ${text}`);
    }
    return Ok(JSON.parse(text) as unknown);
  } catch (error) {
    return Err(`${address}${path}: ${formatError(error)}`);
  }
}

function openTarget(args: CliArguments, address: string): Result<OperatorTarget, string> {
  const cert = readStringArgument(args, 'cert');
  const key = readStringArgument(args, 'key');
  const ca = readStringArgument(args, 'ca');
  if (cert === undefined && key === undefined && ca === undefined) {
    return Ok({ url: `http://${address}`, client: new BoundedClient() });
  }
  if (cert === undefined || key === undefined || ca === undefined) {
    return Err('--cert, --key and --ca must be given together');
  }
  try {
    const tls = readTlsMaterial({ cert, key, ca });
    return Ok({ url: `https://${address}`, client: new BoundedClient({ tls }) });
  } catch (error) {
    return Err(formatError(error));
  }
}

/**
 * Formats a thrown value. Socket errors of undici may have an empty message; their code is used then.
 *
 * @param error - Thrown value
 * @returns One line
 */
export function formatError(error: unknown): string {
  if (!(error instanceof Error)) return String(error);
  const code = (error as NodeJS.ErrnoException).code;
  return error.message === '' ? (code ?? error.name) : error.message;
}
