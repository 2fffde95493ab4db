import { Agent, request } from 'undici';
import { z } from 'zod';
import type { FencingToken, EngineCommands } from '../../version/expertMap/types.js';
import type { GroupLoad } from '../../version/placement/types.js';

const mapSchema = z.object({
  version: z.number().int(),
  /** First step that the engine has not run. */
  step: z.number().int(),
  incarnation: z.number().int(),
});
const loadSchema = z.object({ load: z.array(z.array(z.number().nonnegative())) });

const REQUEST_TIMEOUT_MS = 1_000;
/** Weights of many experts queue at the rate-limited weight store. */
const LOAD_EXPERTS_TIMEOUT_MS = 600_000;
const CONFLICT_STATUS = 409;
/** No map has this version. */
const NO_MAP_VERSION = 0;

/** Step and map that the engine states. */
export type EngineMap = z.infer<typeof mapSchema>;

/** Way to the engine of one rank. */
export class EngineClient implements EngineCommands {
  /** Last command that failed, for the dump. */
  lastFailure: string | undefined;
  /** State read after the last command; undefined while there is none. */
  private state: EngineMap | undefined;
  /** One connection without pipelining: calls are answered one after the other, in order. */
  private readonly commandAgent = new Agent({ connections: 1, pipelining: 1 });
  /** Loading takes long and needs no order, so it must not delay commands. */
  private readonly bulkAgent = new Agent();
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

  setMap(version: number, step: number, number: FencingToken): boolean {
    if (this.refused) return false;
    this.state = undefined;
    this.incarnation = number.incarnation;
    this.commandCount += 1;
    void this.post(this.commandAgent, { command: 'set_map', version, step, ...number });
    void this.readState();
    return true;
  }

  readMap(): number | undefined {
    const { state } = this;
    if (state === undefined) return undefined;
    // The map of another incarnation is a wrong map even when its version is the same.
    return state.incarnation === this.incarnation ? state.version : NO_MAP_VERSION;
  }

  /**
   * Permits steps; the engine holds before the first one that is not permitted.
   *
   * @param until - First step that is not permitted
   * @param number - Number of the command
   */
  permitSteps(until: number, number: FencingToken): void {
    void this.post(this.commandAgent, { command: 'permit_steps', until, ...number });
  }

  /**
   * Loads the weights of a map version.
   *
   * @param version - Map version
   * @param experts - Experts of this rank by layer
   * @param number - Number of the command
   * @returns Whether the engine confirmed it
   */
  loadExperts(
    version: number,
    experts: readonly (readonly number[])[],
    number: FencingToken,
  ): Promise<boolean> {
    const body = { command: 'load_experts', version, experts, ...number };
    return this.post(this.bulkAgent, body, LOAD_EXPERTS_TIMEOUT_MS);
  }

  /** Reads the engine's map and step back, after all commands given before. */
  async readState(): Promise<void> {
    if (this.isReading) return;
    this.isReading = true;
    const before = this.commandCount;
    const read = await this.fetch(this.commandAgent, '/v1/map', mapSchema);
    this.isReading = false;
    this.state = before === this.commandCount ? read : undefined;
  }

  /** Reads the load by layer and expert; undefined when the engine does not answer. */
  async readExpertLoad(): Promise<GroupLoad | undefined> {
    return (await this.fetch(this.bulkAgent, '/v1/expert-load', loadSchema))?.load;
  }

  /** Forgets a refusal, for a new participant with a higher number. */
  reset(): void {
    this.refused = false;
    this.state = undefined;
    this.incarnation = 0;
  }

  async close(): Promise<void> {
    await Promise.all([this.commandAgent.destroy(), this.bulkAgent.destroy()]);
  }

  private async post(
    dispatcher: Agent,
    command: Readonly<Record<string, unknown>>,
    timeoutMs = REQUEST_TIMEOUT_MS,
  ): Promise<boolean> {
    try {
      const { statusCode, body } = await request(`${this.url}/v1/commands`, {
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(command),
        dispatcher,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
      });
      await body.dump();
      if (statusCode === CONFLICT_STATUS && dispatcher === this.commandAgent) this.refused = true;
      if (statusCode === 200) return true;
      this.lastFailure = `${String(command.command)}: status ${statusCode}`;
    } catch (error) {
      this.lastFailure = `${String(command.command)}: ${String(error)}`;
    }
    return false;
  }

  private async fetch<Value>(
    dispatcher: Agent,
    path: string,
    schema: z.ZodType<Value>,
  ): Promise<Value | undefined> {
    try {
      const { statusCode, body } = await request(`${this.url}${path}`, {
        dispatcher,
        headersTimeout: REQUEST_TIMEOUT_MS,
        bodyTimeout: REQUEST_TIMEOUT_MS,
      });
      const value = schema.safeParse(await body.json());
      return statusCode === 200 && value.success ? value.data : undefined;
    } catch {
      return undefined;
    }
  }
}
