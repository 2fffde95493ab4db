/** Share of the time between two returns by which each is shifted at random. */
const JITTER = 0.5;
/** Callers who have to return before room is expected do so in this last part of the time that they can wait. */
const LATE_PART = 0.5;

/** What bounds the return of a refused caller, in milliseconds from now. */
export interface ReturnWindow {
  /** Time until room is expected. */
  readonly earliestMs: number;
  /** Longest time that the caller is asked to wait. */
  readonly latestMs: number;
  /** Expected time between two requests that find room. */
  readonly intervalMs: number;
}

/** Bounds of a return, in milliseconds from now. */
export type ReturnSpan = Pick<ReturnWindow, 'earliestMs' | 'latestMs'>;

/** Fractions that rise by it, modulo 1, stay evenly spread however many there are. */
const GOLDEN_RATIO = (Math.sqrt(5) - 1) / 2;

/**
 * Return times of refused callers, so that those who are refused together return one after the other, at the rate at which
 * room is released.
 */
export class ReturnSchedule {
  private nextAt = -Infinity;
  /** Fraction of its span at which the last caller whose turn is not known returns. */
  private fraction: number;

  /** @param random - Uniform values in [0, 1) */
  constructor(private readonly random: () => number) {
    // Gateways that refuse callers at the same time begin at different fractions.
    this.fraction = random();
  }

  /**
   * Assigns the time after which a refused caller returns.
   *
   * @param window - Bounds of the return
   * @param now - Current time in milliseconds
   * @returns Milliseconds from now
   */
  assignReturn({ earliestMs, latestMs, intervalMs }: ReturnWindow, now: number): number {
    const firstMs = computeFirst({ earliestMs, latestMs });
    const slotMs = Math.max(this.nextAt - now, firstMs);
    if (slotMs > latestMs) return this.spreadReturn({ earliestMs, latestMs });
    this.nextAt = now + slotMs + intervalMs;
    return Math.min(latestMs, slotMs + this.random() * JITTER * intervalMs);
  }

  /**
   * Assigns the time after which a caller returns whose turn is not known, evenly spread over its span. Times drawn at
   * random would let many return together now and then.
   *
   * @param span - Bounds of the return
   * @returns Milliseconds from now
   */
  spreadReturn(span: ReturnSpan): number {
    const firstMs = computeFirst(span);
    this.fraction = (this.fraction + GOLDEN_RATIO) % 1;
    return firstMs + this.fraction * (span.latestMs - firstMs);
  }
}

function computeFirst({ earliestMs, latestMs }: ReturnSpan): number {
  return earliestMs < latestMs ? earliestMs : latestMs * (1 - LATE_PART);
}
