import { setTimeout as sleep } from 'node:timers/promises';
import type { ConfigurationStore } from '../../version/configuration/configurationStore.js';
import { formatTicketKey } from '../../version/ticket/ticketSchema.js';
import { parsePublishedValue } from '../../version/ticket/publishedValue.js';
import type { KeyList, PlatformClient } from './platformClient.js';

const PREFIXES = ['tickets/', 'base/'] as const;
/** Reads run in batches with a pause in between, which limits a process to 100 per second. */
const READ_BATCH_SIZE = 8;
const BATCH_PAUSE_MS = 80;
const MAX_REPORTED_PROBLEMS = 64;

/**
 * Reads published values into the store. The platform may return stale responses, so revisions that
 * have been read are not read again and the store ignores older objects.
 */
export class PlatformReader {
  /** Highest revision returned by the platform, by key prefix. */
  private readonly revisions = new Map<string, number>();
  /** Last revision read or refused, by key. */
  private readonly processedRevisions = new Map<string, number>();
  private readonly pending = new Map<string, number>();
  private readonly problems = new Map<string, string>();
  private staleAnswers = 0;

  constructor(
    private readonly client: PlatformClient,
    private readonly store: ConfigurationStore,
  ) {}

  /**
   * Lists the changed keys and reads their values, newest tickets first.
   *
   * @param maxCalls - Maximum number of values to read; the rest remains pending
   * @returns True if all listed values have been read
   */
  async readChangedKeys(maxCalls = Infinity): Promise<boolean> {
    for (const prefix of PREFIXES) {
      const listed = await this.client.listKeys(prefix, this.revisions.get(prefix) ?? 0);
      if (listed.isErr()) return false;
      this.recordKeys(prefix, listed.value);
    }
    await this.readPending(maxCalls);
    return this.pending.size === 0;
  }

  /**
   * Reads only the tickets above a number, for a process that has merged all other objects from
   * peers. The readers forward tickets that are published later under a lower number.
   *
   * @param newestTicket - Highest ticket number in the store
   * @returns True if all newer tickets have been read
   */
  async readNewerTickets(newestTicket: number): Promise<boolean> {
    const prefix = PREFIXES[0];
    const listed = await this.client.listKeys(prefix, 0);
    if (listed.isErr()) return false;
    const newestKey = formatTicketKey(newestTicket);
    const keys = listed.value.keys.filter(({ key }) => key > newestKey);
    // The revision is not stored, because an elected reader must still read the keys skipped here.
    for (const { key, revision } of keys) {
      if (revision > (this.processedRevisions.get(key) ?? 0)) this.pending.set(key, revision);
    }
    await this.readPending(Infinity);
    return this.pending.size === 0;
  }

  /**
   * Lists all keys regardless of revision and reads the unread ones. This finds keys that were
   * missing from stale responses or skipped because the platform's revisions restarted.
   *
   * @returns True if all listed values have been read
   */
  async readAllKeys(): Promise<boolean> {
    for (const prefix of PREFIXES) {
      const listed = await this.client.listKeys(prefix, 0);
      if (listed.isErr()) return false;
      this.recordKeys(prefix, listed.value);
    }
    await this.readPending(Infinity);
    return this.pending.size === 0;
  }

  /**
   * Waits for changed tickets and reads them.
   *
   * @param maxWaitMs - Maximum wait in milliseconds
   * @param signal - Aborts the wait
   * @returns False if the platform or a value could not be read
   */
  async watchOnce(maxWaitMs: number, signal: AbortSignal): Promise<boolean> {
    const prefix = PREFIXES[0];
    const after = this.revisions.get(prefix) ?? 0;
    // Retries failed reads immediately instead of waiting for the next change.
    const timeoutMs = this.pending.size > 0 ? 0 : maxWaitMs;
    const listed = await this.client.watchKeys(prefix, after, timeoutMs, signal);
    if (listed.isErr()) return false;
    this.recordKeys(prefix, listed.value);
    await this.readPending(Infinity);
    return this.pending.size === 0;
  }

  /**
   * Returns the state of the reader for the `/dump` endpoint.
   *
   * @returns Revisions, pending keys, refused values and platform calls
   */
  describe(): unknown {
    return {
      revisions: Object.fromEntries(this.revisions),
      pending: this.pending.size,
      staleAnswers: this.staleAnswers,
      refusedValues: Object.fromEntries(this.problems),
      calls: { ...this.client.calls },
    };
  }

  private recordKeys(prefix: string, list: KeyList): void {
    const known = this.revisions.get(prefix) ?? 0;
    if (list.revision < known) this.staleAnswers += 1;
    else this.revisions.set(prefix, list.revision);
    for (const { key, revision } of list.keys) {
      if (revision > (this.processedRevisions.get(key) ?? 0)) this.pending.set(key, revision);
    }
  }

  private async readPending(maxCalls: number): Promise<void> {
    const keys = [...this.pending.keys()].sort().reverse().slice(0, maxCalls);
    for (let start = 0; start < keys.length; start += READ_BATCH_SIZE) {
      if (start > 0) await sleep(BATCH_PAUSE_MS);
      const chunk = keys.slice(start, start + READ_BATCH_SIZE);
      const results = await Promise.all(chunk.map((key) => this.readKey(key)));
      if (!results.includes(true)) return;
    }
  }

  private async readKey(key: string): Promise<boolean> {
    const revision = this.pending.get(key);
    if (revision === undefined) return true;
    const text = await this.client.readValue(key);
    if (text.isErr()) {
      // A value that exceeds the size limit is not retried; other failures are.
      if (text.error.code !== 'too_large') return false;
      this.recordRefusal(key, text.error.message);
    } else {
      this.mergeValue(key, text.value);
    }
    this.processedRevisions.set(key, revision);
    if (this.pending.get(key) === revision) this.pending.delete(key);
    return true;
  }

  private mergeValue(key: string, text: string): void {
    const objects = parsePublishedValue(key, text);
    if (objects.isErr()) {
      this.recordRefusal(key, objects.error);
      return;
    }
    this.problems.delete(key);
    this.store.mergeObjects(objects.value);
  }

  private recordRefusal(key: string, message: string): void {
    if (this.problems.size < MAX_REPORTED_PROBLEMS) this.problems.set(key, message);
  }
}
