import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { errors } from 'undici';
import { z } from 'zod';
import { BoundedClient } from '../../connection/boundedClient.js';
import { CallQueue } from '../../connection/callQueue.js';
import { createListSchema } from '../../connection/createListSchema.js';
import { parseBoundedJson } from '../../connection/parseBoundedJson.js';
import { isFramed } from '../../connection/responseFraming.js';
import { MAX_VALUE_BYTES } from '../../version/configuration/checkObject.js';
import type { ListedHost } from './types.js';

const WATCH_TIMEOUT_MARGIN_MS = 1_000;
const MAX_LIST_BYTES = 8 * 1024 * 1024;
const MAX_CONNECTIONS = 8;
const HTTP_OK = 200;

const keyListSchema = z.object({
  revision: z.number().int().nonnegative(),
  keys: createListSchema(z.object({ key: z.string().max(256), revision: z.number().int() })),
});
const listedHostSchema = z.object({
  host: z.string().min(1).max(256),
  availabilityZone: z.string().min(1).max(256),
  state: z.enum(['live', 'leaving']),
  role: z.enum(['entry', 'agent']).optional(),
  address: z
    .string()
    .regex(/^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/)
    .optional(),
});

/** Keys changed after the requested revision, up to the revision of the response. */
export type KeyList = z.infer<typeof keyListSchema>;

export interface PlatformError {
  readonly code: 'unreachable' | 'status' | 'too_large' | 'malformed';
  readonly message: string;
}

/** Client of the platform's configuration service; counts all calls. */
export class PlatformClient {
  readonly calls = { list: 0, values: 0, watch: 0, hosts: 0, failed: 0 };
  private readonly client = new BoundedClient();
  private readonly queue = new CallQueue(MAX_CONNECTIONS);

  constructor(
    private readonly baseUrl: string,
    private readonly timeoutMs: number,
  ) {}

  /**
   * Lists the keys changed after a revision.
   *
   * @param prefix - Key prefix
   * @param after - Revision, 0 for all keys
   * @returns Changed keys and the current revision of the platform
   */
  async listKeys(prefix: string, after: number): Promise<Result<KeyList, PlatformError>> {
    this.calls.list += 1;
    const query = new URLSearchParams({ prefix, after: String(after) });
    return parseJson(
      await this.fetchText(`/v1/list?${query.toString()}`, MAX_LIST_BYTES, {}),
      keyListSchema,
    );
  }

  /**
   * Waits for key changes with a long poll.
   *
   * @param prefix - Key prefix
   * @param after - Last known revision
   * @param timeoutMs - Long poll timeout of the platform; a hung call is aborted shortly after it
   * @param signal - Aborts the wait
   * @returns Changed keys, empty after a timeout
   */
  async watchKeys(
    prefix: string,
    after: number,
    timeoutMs: number,
    signal: AbortSignal,
  ): Promise<Result<KeyList, PlatformError>> {
    this.calls.watch += 1;
    const query = new URLSearchParams({ prefix, after: `${after}`, timeout_ms: `${timeoutMs}` });
    const limits = { timeoutMs: timeoutMs + WATCH_TIMEOUT_MARGIN_MS, signal };
    return parseJson(
      await this.fetchText(`/v1/watch?${query.toString()}`, MAX_LIST_BYTES, limits),
      keyListSchema,
    );
  }

  /**
   * Reads a value.
   *
   * @param key - Platform key
   * @returns JSON text
   */
  async readValue(key: string): Promise<Result<string, PlatformError>> {
    this.calls.values += 1;
    const path = key.split('/').map(encodeURIComponent).join('/');
    return this.fetchText(`/v1/values/${path}`, MAX_VALUE_BYTES, {});
  }

  /**
   * Reads the live list; items that do not match the schema are skipped.
   *
   * @returns Live and leaving hosts
   */
  async listHosts(): Promise<Result<ListedHost[], PlatformError>> {
    this.calls.hosts += 1;
    const answer = parseJson(
      await this.fetchText('/v1/hosts', MAX_LIST_BYTES, {}),
      z.array(z.unknown()),
    );
    if (answer.isErr()) return answer;
    const hosts: ListedHost[] = [];
    for (const item of answer.value) {
      // An issue for each of millions of other items takes seconds.
      if (typeof item !== 'object' || item === null) continue;
      const parsed = listedHostSchema.safeParse(item);
      if (parsed.success) hosts.push(parsed.data);
    }
    return Ok(hosts);
  }

  /** Closes all connections. */
  close(): void {
    this.client.close();
  }

  private async fetchText(
    path: string,
    maxBytes: number,
    limits: { timeoutMs?: number; signal?: AbortSignal },
  ): Promise<Result<string, PlatformError>> {
    // AbortSignal.any would leak one dependent signal per call on a long-lived signal.
    const controller = new AbortController();
    const abort = (): void => {
      controller.abort();
    };
    const timer = setTimeout(abort, limits.timeoutMs ?? this.timeoutMs);
    if (limits.signal?.aborted === true) abort();
    limits.signal?.addEventListener('abort', abort);
    try {
      const { signal } = controller;
      const response = await this.queue.run(
        () => this.client.send(`${this.baseUrl}${path}`, { method: 'GET', maxBytes, signal }),
        signal,
      );
      if (response.status !== HTTP_OK)
        return this.fail('status', `unexpected status ${response.status} for ${path}`);
      const text = response.body.toString('utf8');
      // A value that was read and refused is not read again, so one that may be cut has not been read.
      if (!isFramed(response.headers) && !isJson(text))
        return this.fail('unreachable', `response without a length ended early: ${path}`);
      return Ok(text);
    } catch (error) {
      if (error instanceof errors.ResponseExceededMaxSizeError)
        return this.fail('too_large', `response exceeds ${maxBytes} bytes: ${path}`);
      return this.fail('unreachable', String(error));
    } finally {
      clearTimeout(timer);
      limits.signal?.removeEventListener('abort', abort);
    }
  }

  private fail(code: PlatformError['code'], message: string): Result<never, PlatformError> {
    this.calls.failed += 1;
    return Err({ code, message });
  }
}

/** Whether a text is a complete JSON document. */
function isJson(text: string): boolean {
  try {
    parseBoundedJson(text);
    return true;
  } catch {
    return false;
  }
}

function parseJson<Value>(
  text: Result<string, PlatformError>,
  schema: z.ZodType<Value>,
): Result<Value, PlatformError> {
  if (text.isErr()) return text;
  let value: unknown;
  try {
    value = parseBoundedJson(text.value);
  } catch (error) {
    return Err({ code: 'malformed', message: String(error) });
  }
  const parsed = schema.safeParse(value);
  if (parsed.success) return Ok(parsed.data);
  return Err({ code: 'malformed', message: parsed.error.issues[0]?.message ?? 'malformed' });
}
