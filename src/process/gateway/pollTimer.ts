/** Wait between two polls that can be ended early. */
export class PollTimer {
  private isWoken = false;
  private end: () => void = () => {
    this.isWoken = true;
  };

  /** @param signal - Ends every wait */
  constructor(private readonly signal: AbortSignal) {
    signal.addEventListener('abort', () => {
      this.wake();
    });
  }

  /**
   * Waits.
   *
   * @param durationMs - Maximum wait; no wait at all after a `wake` since the last one
   */
  wait(durationMs: number): Promise<void> {
    if (this.isWoken || this.signal.aborted) {
      this.isWoken = false;
      return Promise.resolve();
    }
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.end();
      }, durationMs);
      this.end = () => {
        clearTimeout(timer);
        this.end = () => {
          this.isWoken = true;
        };
        resolve();
      };
    });
  }

  /** Ends the current wait, or the next one if there is none. */
  wake(): void {
    this.end();
  }
}
