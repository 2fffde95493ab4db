import { z } from 'zod';
import { BoundedClient } from '../../connection/boundedClient.js';
import { CallQueue } from '../../connection/callQueue.js';
import { createListSchema } from '../../connection/createListSchema.js';
import { parseBoundedJson } from '../../connection/parseBoundedJson.js';
import { defaults } from '../../defaults.js';
import type { FencingToken, EngineCommands } from '../../version/expertMap/types.js';
import type { GroupLoad } from '../../version/placement/types.js';

const mapSchema = z.object({
  version: z.number().int(),
  /** First step that the engine has not run. */
  step: z.number().int(),
  incarnation: z.number().int(),
});
const loadSchema = z.object({ load: createListSchema(createListSchema(z.number().nonnegative())) });

const REQUEST_TIMEOUT_MS = 1_000;
/** Loads of many experts queue at the rate-limited weight store. */
const LOAD_EXPERTS_TIMEOUT_MS = 600_000;
/** Only the status of a response to a command counts. */
const MAX_COMMAND_RESPONSE_BYTES = 64 * 1024;
const HTTP_OK = 200;
const CONFLICT_STATUS = 409;
/** Version that no map has. */
const NO_MAP_VERSION = 0;

/** Step and map reported by the engine. */
export type EngineMap = z.infer<typeof mapSchema>;

/** HTTP client for the engine of one rank. */
export class EngineClient implements EngineCommands {
  /** Last failed command, for the dump. */
  lastFailure: string | undefined;
  /** State read after the last command; undefined until that read completes. */
  private state: EngineMap | undefined;
  /**
   * One call at a time, so that the engine handles them in order; not for loading, which takes long, needs no order and must
   * not delay commands.
   */
  private readonly commands = new CallQueue(1);
  private readonly client = new BoundedClient();
  private isClosed = false;
  private commandCount = 0;
  private isReading = false;
  private refused = false;
  /** Incarnation of the last map command. */
  private incarnation = 0;

  constructor(
    private readonly url: string,
    readonly fencing: 'checked' | 'ignored',
  ) {}

  /** First step that the engine has not run, as last read; undefined while unknown. */
  get step(): number | undefined {
    return this.state?.step;
  }

  setMap(version: number, step: number, token: FencingToken): boolean {
    if (this.refused) return false;
    this.state = undefined;
    this.incarnation = token.incarnation;
    this.commandCount += 1;
    void this.postInOrder({ command: 'set_map', version, step, ...token });
    void this.readState();
    return true;
  }

  readMap(): number | undefined {
    const { state } = this;
    if (state === undefined) return undefined;
    // A map of another incarnation does not match, even with the same version.
    return state.incarnation === this.incarnation ? state.version : NO_MAP_VERSION;
  }

  /**
   * Permits steps; the engine holds before the first step that is not permitted.
   *
   * @param until - First step that is not permitted
   * @param token - Fencing token of the command
   */
  permitSteps(until: number, token: FencingToken): void {
    void this.postInOrder({ command: 'permit_steps', until, ...token });
  }

  /**
   * Loads the weights of a map version.
   *
   * @param version - Map version
   * @param experts - Experts of this rank by layer
   * @param token - Fencing token of the command
   * @returns Whether the engine confirmed it
   */
  loadExperts(
    version: number,
    experts: readonly (readonly number[])[],
    token: FencingToken,
  ): Promise<boolean> {
    const body = { command: 'load_experts', version, experts, ...token };
    return this.post(body, LOAD_EXPERTS_TIMEOUT_MS, () => undefined);
  }

  /** Reads the engine's map and step, after all commands sent before. */
  async readState(): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    const before = this.commandCount;
    const read = await this.commands.run(() => this.fetch('/v1/map', mapSchema));
    this.isReading = false;
    this.state = before === this.commandCount ? read : undefined;
  }

  /** Reads the load by layer and expert; undefined when the engine does not respond. */
  async readExpertLoad(): Promise<GroupLoad | undefined> {
    return (await this.fetch('/v1/expert-load', loadSchema))?.load;
  }

  /** Clears the state and a refusal, for a new participant with a higher fencing token. */
  reset(): void {
    this.refused = false;
    this.state = undefined;
    this.incarnation = 0;
  }

  close(): Promise<void> {
    this.isClosed = true;
    this.client.close();
    return Promise.resolve();
  }

  private postInOrder(command: Readonly<Record<string, unknown>>): Promise<boolean> {
    return this.commands.run(() =>
      this.post(command, REQUEST_TIMEOUT_MS, () => {
        this.refused = true;
      }),
    );
  }

  private async post(
    command: Readonly<Record<string, unknown>>,
    timeoutMs: number,
    onConflict: () => void,
  ): Promise<boolean> {
    if (this.isClosed) return false;
    try {
      const { status } = await this.client.send(`${this.url}/v1/commands`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(command),
        maxBytes: MAX_COMMAND_RESPONSE_BYTES,
        timeoutMs,
      });
      if (status === CONFLICT_STATUS) onConflict();
      if (status === HTTP_OK) return true;
      this.lastFailure = `${String(command.command)}: status ${status}`;
    } catch (error) {
      this.lastFailure = `${String(command.command)}: ${String(error)}`;
    }
    return false;
  }

  private async fetch<Value>(path: string, schema: z.ZodType<Value>): Promise<Value | undefined> {
    if (this.isClosed) return undefined;
    try {
      const { status, body } = await this.client.send(`${this.url}${path}`, {
        method: 'GET',
        maxBytes: defaults.maxEngineReportBytes,
        timeoutMs: REQUEST_TIMEOUT_MS,
      });
      const value = schema.safeParse(parseBoundedJson(body.toString('utf8')));
      return status === HTTP_OK && value.success ? value.data : undefined;
    } catch {
      return undefined;
    }
  }
}
