/** In a shorter gap between reads no entry expires because the store was unavailable; reads are sent every 0.7 s. */
const OUTAGE_GAP_MS = 1_600;
/** Entries that expired during an outage are registered again about 2 s after its end. */
const EXPIRY_GRACE_MS = 2_200;

/** Reads of another gateway that relays a listing. */
export interface ListingRelay {
  /** Since when the other gateway has missed no change; undefined if it does not tell. */
  readonly completeSince: number | undefined;
}

/** Time without a read in which entries may have expired because the store was unavailable. */
interface ReadGap {
  readonly from: number;
  readonly to: number;
}

/**
 * Decides whether entries that are missing from a listing may have expired in an outage of the store.
 *
 * A gap between two reads may be the absence of this process instead. It counts if a read failed in it or the process
 * was paused, and only until another gateway shows that it has read the store all the while.
 */
export class ReadContinuity {
  /** Whether this process may have missed an outage of the store since a time, because its reads failed or it was paused. */
  mayHaveMissedOutage: (since: number) => boolean = () => true;
  private lastReadAt: number | undefined;
  private completeSince = Infinity;
  private gap: ReadGap | undefined;
  private retainUntil = -Infinity;

  /**
   * Computes the age of the last read.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds since it was sent; infinite before the first one
   */
  computeAge(now: number): number {
    return now - (this.lastReadAt ?? -Infinity);
  }

  /**
   * Computes for how long no change has been missed.
   *
   * @param now - Current time in milliseconds
   * @returns Milliseconds since the first of the reads without a gap; negatively infinite before the first one
   */
  computeCompleteMs(now: number): number {
    return now - this.completeSince;
  }

  /**
   * Checks whether other gateways should be asked if they have read the store while this one has not.
   *
   * @param now - Current time in milliseconds
   * @param monotonicNow - Current time on the monotonic clock, in milliseconds
   */
  needsProof(now: number, monotonicNow: number): boolean {
    if (this.lastReadAt === undefined) return false;
    if (this.gap !== undefined && this.isRetaining(monotonicNow)) return true;
    return now - this.lastReadAt > OUTAGE_GAP_MS && this.mayHaveMissedOutage(this.lastReadAt);
  }

  /**
   * Checks whether entries that are missing from the listing are retained.
   *
   * @param monotonicNow - Current time on the monotonic clock, in milliseconds
   */
  isRetaining(monotonicNow: number): boolean {
    return monotonicNow < this.retainUntil;
  }

  /**
   * Ends the retention if a listing shows that its teller has missed no change in the gap that led to it.
   *
   * @param relay - Given if another gateway has read the listing
   * @param readStartedAt - When the read was sent, in milliseconds
   */
  verifyGap(relay: ListingRelay | undefined, readStartedAt: number): void {
    if (this.gap === undefined || relay?.completeSince === undefined) return;
    const { from, to } = this.gap;
    if (relay.completeSince > from || readStartedAt < to - OUTAGE_GAP_MS) return;
    this.gap = undefined;
    this.completeSince = relay.completeSince;
    this.retainUntil = -Infinity;
  }

  /**
   * Records a read whose listing is applied.
   *
   * @param readStartedAt - When it was sent, in milliseconds
   * @param monotonicNow - Current time on the monotonic clock, in milliseconds
   * @param relay - Given if another gateway has sent it
   */
  recordRead(readStartedAt: number, monotonicNow: number, relay?: ListingRelay): void {
    if (this.lastReadAt !== undefined) {
      this.observeGap({ from: this.lastReadAt, to: readStartedAt }, monotonicNow, relay);
    }
    this.completeSince = Math.min(this.completeSince, readStartedAt);
    this.lastReadAt = readStartedAt;
  }

  /**
   * Records that the store was restored from an older copy, which may lack changes.
   *
   * @param readStartedAt - When the first read of the copy was sent, in milliseconds
   */
  recordRestore(readStartedAt: number): void {
    this.completeSince = readStartedAt;
  }

  private observeGap(gap: ReadGap, monotonicNow: number, relay: ListingRelay | undefined): void {
    if (gap.to - gap.from <= OUTAGE_GAP_MS || !this.mayHaveMissedOutage(gap.from)) return;
    if ((relay?.completeSince ?? Infinity) <= gap.from) return;
    const earlier = this.isRetaining(monotonicNow) ? this.gap : undefined;
    this.gap = { from: earlier?.from ?? gap.from, to: gap.to };
    this.completeSince = gap.to;
    this.retainUntil = monotonicNow + EXPIRY_GRACE_MS;
  }
}
