/** The operator and the upstreams write again within about 2 s of the return of the store. */
const REWRITE_GRACE_MS = 2_200;
/**
 * Applies while the store returns an older version than a known one. The operator has then not written everything
 * again, and a key that a version unknown here revoked may still be listed.
 */
const LOST_VERSION_GRACE_MS = 10_000;
/** Era of a store that has not been restored or does not report its era. */
const INITIAL_ERA = 0;

/**
 * Tracks the era of the store, which rises each time the store is restored from an older copy of its data.
 *
 * What the store acknowledged after the copy is missing until it is written again, so a read proves nothing about newer
 * versions at first. All times are monotonic: a step of the wall clock must not shorten a grace period.
 */
export class StoreEra {
  private era: number | undefined;
  private baseRevision: number | undefined;
  private completeSince = -Infinity;
  private caughtUpSince = -Infinity;
  /**
   * False while nobody has told this process, which has no memory, whether the store was restored before its start.
   * Peers that know no era prove nothing: a gateway that knows a lost version may not have linked with them yet.
   */
  private hasMemory = true;

  /** Newest era seen; undefined before the first answer of the store or of a peer. */
  get current(): number | undefined {
    return this.era;
  }

  /**
   * Checks whether this process knows if the store was restored shortly before. Peers may rely only on one that does.
   *
   * @param now - Current time on the monotonic clock, in milliseconds
   * @returns False from the first answer of the store until a peer has stated its era or the grace period has ended
   */
  isConfirmed(now: number): boolean {
    return this.hasMemory || now >= this.completeSince;
  }

  /**
   * Records the era of an answer of the store.
   *
   * @param era - Era stated in the answer
   * @param now - Current time on the monotonic clock, in milliseconds
   * @returns False when a newer era has been seen; the answer must be ignored
   */
  observe(era: number, now: number): boolean {
    if (era === this.era) return true;
    if (this.era !== undefined && era < this.era) return false;
    const isFirst = this.era === undefined;
    this.era = era;
    this.baseRevision = undefined;
    if (isFirst && era === INITIAL_ERA) return true;
    this.hasMemory = !isFirst;
    this.completeSince = now + REWRITE_GRACE_MS;
    this.caughtUpSince = now + LOST_VERSION_GRACE_MS;
    return true;
  }

  /**
   * Records the era that a peer knows.
   *
   * @param era - Newest era that the peer has seen, undefined when it knows none
   * @param isComplete - The peer states that the data of that era has been written again
   * @param now - Current time on the monotonic clock, in milliseconds
   * @returns False when the peer has not seen the current era; what it has read must not count as validation
   */
  observePeer(era: number | undefined, isComplete: boolean, now: number): boolean {
    if (era === undefined) return (this.era ?? INITIAL_ERA) === INITIAL_ERA;
    const isCurrent = this.observe(era, now);
    // A peer that states an era remembers the time before the start of this process.
    this.hasMemory = true;
    if (isCurrent && isComplete) this.completeSince = Math.min(this.completeSince, now);
    return isCurrent;
  }

  /**
   * Records a read of the configuration in the current era. A second revision within the era shows that the operator has
   * written again.
   *
   * @param revision - Revision of the configuration
   * @param isBehind - The version read is older than a known one
   * @param readStartedAt - When the read was sent, monotonic clock, milliseconds
   */
  recordConfiguration(revision: number, isBehind: boolean, readStartedAt: number): void {
    this.baseRevision ??= revision;
    if (revision === this.baseRevision || isBehind) return;
    this.hasMemory = true;
    this.completeSince = Math.min(this.completeSince, readStartedAt);
  }

  /**
   * Checks whether a read of the current era returned everything that the store had acknowledged when it was sent.
   *
   * @param readStartedAt - When the read was sent, monotonic clock, milliseconds
   * @param isBehind - The configuration version read is older than a known one
   * @returns False while acknowledged data may be missing
   */
  isComplete(readStartedAt: number, isBehind = false): boolean {
    return readStartedAt >= (isBehind ? this.caughtUpSince : this.completeSince);
  }
}
