/** Time that slices which are not short may take in one turn of the event loop, which accepts one connection. */
const MAX_TURN_MS = 4;
/** Slices up to this size are parsed in any case, so that short requests do not wait for long ones. */
export const SHORT_SLICE_BYTES = 4 * 1024;

/** What the connections of a server share. */
export class ReaderLoad {
  /** Requests in progress of all connections. */
  inProgress = 0;
  private turnStartedAt: number | undefined;

  /**
   * Takes a slice of the present turn of the event loop.
   *
   * @param bytes - Size of the slice
   * @param now - Current time in milliseconds
   * @returns False if it has to wait for the next turn
   */
  tryTakeTurn(bytes: number, now: number): boolean {
    if (bytes <= SHORT_SLICE_BYTES) return true;
    if (this.turnStartedAt !== undefined) return now - this.turnStartedAt < MAX_TURN_MS;
    this.turnStartedAt = now;
    setImmediate(() => {
      this.turnStartedAt = undefined;
    });
    return true;
  }
}
