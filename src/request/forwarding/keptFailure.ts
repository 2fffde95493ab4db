import type { CallerMemory, MemoryHold } from '../../connection/callerMemory.js';
import type { AttemptOutcome } from './types.js';

type Failure = Extract<AttemptOutcome, { kind: 'answered' }>;

/** Error response of an upstream, kept while the request is sent to another one, in memory shared with other callers. */
export class KeptFailure {
  private failure: Failure | undefined;
  private hold: MemoryHold | undefined;

  /**
   * @param memory - Memory of the process
   * @param group - Responses of one group get memory after those of groups that hold less
   */
  constructor(
    private readonly memory: CallerMemory,
    private readonly group: string,
  ) {}

  /**
   * Keeps a response in place of an earlier one.
   *
   * @param failure - Complete error response
   * @param now - Current time in milliseconds
   */
  put(failure: Failure, now: number): void {
    this.failure = failure;
    this.hold ??= this.memory.open(
      {
        kind: 'upstream',
        group: this.group,
        // The caller is told that the request may have run, which is all that the response would say for certain.
        evict: () => {
          this.failure = undefined;
        },
      },
      now,
    );
    this.hold.resize(failure.body.length, now);
  }

  /**
   * Takes the response out.
   *
   * @returns The last one, unless its memory was needed for others
   */
  take(): Failure | undefined {
    const { failure } = this;
    this.release();
    return failure;
  }

  /** Returns the memory. */
  release(): void {
    this.failure = undefined;
    this.hold?.release();
    this.hold = undefined;
  }
}
