/** Runs a limited number of calls at a time, in their order. */
export class CallQueue {
  private active = 0;
  private readonly waiting: (() => void)[] = [];

  /** @param maxActive - Calls that run at a time */
  constructor(private readonly maxActive: number) {}

  /**
   * Runs a call when its turn comes.
   *
   * @param call - Call
   * @param signal - Ends the wait, not the call
   * @returns What the call returns
   * @throws The reason of the signal, or what the call throws
   */
  async run<Value>(call: () => Promise<Value>, signal?: AbortSignal): Promise<Value> {
    if (this.active < this.maxActive) this.active += 1;
    else await this.wait(signal);
    try {
      return await call();
    } finally {
      const next = this.waiting.shift();
      if (next === undefined) this.active -= 1;
      else next();
    }
  }

  private wait(signal: AbortSignal | undefined): Promise<void> {
    return new Promise((resolve, reject) => {
      const leave = (): void => {
        this.waiting.splice(this.waiting.indexOf(start), 1);
        reject(signal?.reason as Error);
      };
      const start = (): void => {
        signal?.removeEventListener('abort', leave);
        resolve();
      };
      this.waiting.push(start);
      if (signal?.aborted === true) leave();
      else signal?.addEventListener('abort', leave, { once: true });
    });
  }
}
