/**
 * Issues incarnation, fencing and version numbers of one group: counter × ranks + local rank, so two
 * ranks never issue the same one. The counter starts at the clock in milliseconds, because a
 * restarted process does not know which numbers its predecessor issued.
 */
export class NumberSource {
  private highestSeen = 0;

  constructor(
    readonly ranks: number,
    readonly rank: number,
  ) {}

  /** Highest number issued or seen. */
  get highest(): number {
    return this.highestSeen;
  }

  /**
   * Records a number of another rank; numbers issued later are above it.
   *
   * @param number - Number from a message
   */
  observe(number: number): void {
    this.highestSeen = Math.max(this.highestSeen, number);
  }

  /**
   * Issues a number above every one issued or seen.
   *
   * @param now - Current time in milliseconds
   * @returns The number
   */
  issue(now: number): number {
    const counter = Math.max(Math.floor(this.highestSeen / this.ranks) + 1, Math.floor(now));
    this.highestSeen = counter * this.ranks + this.rank;
    return this.highestSeen;
  }
}

/**
 * Returns the rank that issued a number.
 *
 * @param number - Number from `NumberSource`
 * @param ranks - Ranks of the group
 * @returns The issuing rank
 */
export function getIssuingRank(number: number, ranks: number): number {
  return number % ranks;
}
