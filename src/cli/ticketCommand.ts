import { readdirSync, readFileSync, statSync } from 'node:fs';
import { join, relative, sep } from 'node:path';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { CommandModule } from 'yargs';
import { ConfigurationStore } from '../version/configuration/configurationStore.js';
import { checkTicket, findOutdatedObjects } from '../version/ticket/checkTicket.js';
import { compactTickets } from '../version/ticket/compactTickets.js';
import { diffTicket } from '../version/ticket/diffTicket.js';
import { parsePublishedValue } from '../version/ticket/publishedValue.js';
import type { TicketProblem } from '../version/ticket/ticketSchema.js';
import { toStoredObjects } from '../version/ticket/ticketSchema.js';
import type { Ticket } from '../version/ticket/types.js';

export interface TicketArguments {
  /** Ticket files. */
  readonly files: readonly string[];
  /** Directory of published values: `tickets/<number>.json` and `base/<shard>.json`. */
  readonly base?: string | undefined;
  readonly json?: boolean | undefined;
}

/** Output of a ticket command and its exit code: 0 success, 1 problems found, 2 usage error. */
export interface TicketOutcome {
  readonly exitCode: 0 | 1 | 2;
  /** Printed as JSON with `--json`. */
  readonly report: unknown;
  readonly lines: readonly string[];
}

interface CheckedFiles {
  readonly store: ConfigurationStore;
  readonly tickets: { file: string; ticket: Ticket }[];
  readonly problems: (TicketProblem & { file: string })[];
}

type TicketAction = 'check' | 'diff' | 'merge';

/**
 * Lists problems in tickets, including ticket numbers too low to take effect.
 *
 * @param options - Files and published values
 * @returns Valid tickets and problems
 */
export async function checkTicketFiles(options: TicketArguments): Promise<TicketOutcome> {
  const run = ({ store, tickets, problems }: CheckedFiles): TicketOutcome => {
    const allProblems = [...problems];
    for (const { file, ticket } of tickets) {
      allProblems.push(
        ...findOutdatedObjects(ticket, store).map((problem) => ({ file, ...problem })),
      );
    }
    return createCheckOutcome(tickets, allProblems);
  };
  return Promise.resolve(withCheckedFiles(options, true, run));
}

/**
 * Lists the changes that tickets would make to the published configuration.
 *
 * @param options - Files and published values
 * @returns Changed fields by object
 */
export async function diffTicketFiles(options: TicketArguments): Promise<TicketOutcome> {
  const run = ({ store, tickets, problems }: CheckedFiles): TicketOutcome => {
    if (problems.length > 0) return createCheckOutcome(tickets, problems);
    const changes = tickets.flatMap(({ file, ticket }) => {
      const changed = diffTicket(store, ticket).map((change) => ({ file, ...change }));
      store.mergeObjects(toStoredObjects(ticket));
      return changed;
    });
    const lines = changes.flatMap(({ key, effect, publishedTicket, fields }) => [
      `${effect} ${key} (published by ticket ${publishedTicket})`,
      ...fields.map(
        ({ path, before, after }) => `  ${path}: ${formatValue(before)} -> ${formatValue(after)}`,
      ),
    ]);
    return { exitCode: 0, report: { changes }, lines };
  };
  return Promise.resolve(withCheckedFiles(options, true, run));
}

/**
 * Compacts published values and tickets into base shards to publish. References are not checked,
 * since an old ticket may refer to an object that a later one has deleted.
 *
 * @param options - Files and published values
 * @returns Values by platform key
 */
export async function mergeTicketFiles(options: TicketArguments): Promise<TicketOutcome> {
  const run = ({ store, tickets, problems }: CheckedFiles): TicketOutcome => {
    if (problems.length > 0) return createCheckOutcome(tickets, problems);
    const conflicts = tickets.flatMap(
      ({ ticket }) => store.mergeObjects(toStoredObjects(ticket)).conflicts,
    );
    if (conflicts.length > 0) {
      const lines = conflicts.map(
        ({ key, ticket }) => `${key}: conflicting states under ticket ${ticket}`,
      );
      return { exitCode: 1, report: { conflicts }, lines };
    }
    const values = compactTickets(store);
    if (values.isErr()) {
      return { exitCode: 1, report: { error: values.error }, lines: [values.error] };
    }
    const report = {
      values: values.value.map(({ key, text }) => ({ key, value: JSON.parse(text) as unknown })),
    };
    return { exitCode: 0, report, lines: values.value.map(({ key, text }) => `${key} ${text}`) };
  };
  return Promise.resolve(withCheckedFiles(options, false, run));
}

const actions: Readonly<
  Record<TicketAction, (options: TicketArguments) => Promise<TicketOutcome>>
> = { check: checkTicketFiles, diff: diffTicketFiles, merge: mergeTicketFiles };

/** yargs module of `parsleyfold ticket check|diff|merge`. */
export const ticketCommand: CommandModule<object, TicketArguments & { action: TicketAction }> = {
  command: 'ticket <action> <files..>',
  describe: 'check tickets, show their changes, or compact them into base shards',
  builder: (yargs) =>
    yargs
      .positional('action', {
        choices: ['check', 'diff', 'merge'] as const,
        demandOption: true,
        describe: 'action to perform on the tickets',
      })
      .positional('files', {
        type: 'string',
        array: true,
        demandOption: true,
        describe: 'ticket files (JSON)',
      })
      .option('base', { type: 'string', describe: 'directory of published values (JSON files)' })
      .option('json', { type: 'boolean', default: false, describe: 'print one JSON line' }),
  handler: async (options) => {
    const outcome = await actions[options.action](options);
    const text = options.json === true ? JSON.stringify(outcome.report) : outcome.lines.join('\n');
    process.stdout.write(`${text}\n`);
    process.exitCode = outcome.exitCode;
  },
};

function createCheckOutcome(
  tickets: CheckedFiles['tickets'],
  problems: CheckedFiles['problems'],
): TicketOutcome {
  const valid = tickets.map(({ file, ticket }) => ({
    file,
    ticket: ticket.ticket,
    objects: ticket.objects.length,
  }));
  const lines = [
    ...valid.map(
      ({ file, ticket, objects }) => `${file}: ticket ${ticket}, ${objects} objects, valid`,
    ),
    ...problems.map(
      ({ file, path, message }) => `${file}: ${path === '' ? 'file' : path}: ${message}`,
    ),
  ];
  return { exitCode: problems.length > 0 ? 1 : 0, report: { valid, problems }, lines };
}

function withCheckedFiles(
  options: TicketArguments,
  checksReferences: boolean,
  run: (files: CheckedFiles) => TicketOutcome,
): TicketOutcome {
  const store = readPublishedValues(options.base);
  if (store.isErr()) return createUsageError(store.error);
  if (options.files.length === 0) return createUsageError('expected at least one ticket file');
  const texts: { file: string; text: string }[] = [];
  for (const file of options.files) {
    const text = readTextFile(file);
    if (text.isErr()) return createUsageError(text.error);
    texts.push({ file, text: text.value });
  }
  return run(checkTicketTexts(store.value, checksReferences && options.base !== undefined, texts));
}

function checkTicketTexts(
  store: ConfigurationStore,
  checksReferences: boolean,
  texts: readonly { file: string; text: string }[],
): CheckedFiles {
  const files: CheckedFiles = { store, tickets: [], problems: [] };
  // Tickets may refer to objects added by earlier files.
  const knownObjects = new ConfigurationStore();
  knownObjects.mergeObjects(store.listObjects());
  const filesByNumber = new Map<number, string>();
  for (const { file, text } of texts) {
    const checked = checkTicket(text, checksReferences ? knownObjects : undefined);
    if (checked.isErr()) {
      files.problems.push(...checked.error.map((problem) => ({ file, ...problem })));
      continue;
    }
    const ticket = checked.value;
    const other = filesByNumber.get(ticket.ticket);
    if (other !== undefined) {
      const message = `ticket number ${ticket.ticket} is also used by ${other}`;
      files.problems.push({ file, path: 'ticket', message });
    }
    filesByNumber.set(ticket.ticket, file);
    files.tickets.push({ file, ticket });
    knownObjects.mergeObjects(toStoredObjects(ticket));
  }
  return files;
}

function readPublishedValues(directory: string | undefined): Result<ConfigurationStore, string> {
  const store = new ConfigurationStore();
  if (directory === undefined) return Ok(store);
  try {
    const names = readdirSync(directory, { recursive: true, encoding: 'utf8' }).sort();
    for (const name of names.filter((path) => path.endsWith('.json'))) {
      const path = join(directory, name);
      if (!statSync(path).isFile()) continue;
      const key = relative(directory, path).split(sep).join('/').slice(0, -'.json'.length);
      const objects = parsePublishedValue(key, readFileSync(path, 'utf8'));
      if (objects.isErr()) return Err(`${path}: ${objects.error}`);
      const refused = store.mergeObjects(objects.value).refused[0];
      if (refused !== undefined) {
        return Err(`${path}: ${refused.key}: ${refused.path}: ${refused.message}`);
      }
    }
  } catch (error) {
    return Err(`${directory}: ${String(error)}`);
  }
  return Ok(store);
}

function readTextFile(file: string): Result<string, string> {
  try {
    return Ok(readFileSync(file, 'utf8'));
  } catch (error) {
    return Err(`${file}: ${String(error)}`);
  }
}

function formatValue(value: unknown): string {
  return value === undefined ? 'unset' : JSON.stringify(value);
}

function createUsageError(message: string): TicketOutcome {
  return { exitCode: 2, report: { error: message }, lines: [message] };
}
