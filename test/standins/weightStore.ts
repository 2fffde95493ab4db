/** Weight store with limited throughput; transfers are executed one after another. */
export class WeightStore {
  private freeAt = 0;

  /**
   * @param bytesPerSecond - Total throughput of all readers
   */
  constructor(private readonly bytesPerSecond: number) {}

  /**
   * Queues a transfer.
   *
   * @param bytes - Size of the transfer
   * @param now - Current time in milliseconds
   * @returns Completion time of the transfer in milliseconds
   */
  load(bytes: number, now: number): number {
    this.freeAt = Math.max(this.freeAt, now) + (bytes / this.bytesPerSecond) * 1000;
    return this.freeAt;
  }
}
