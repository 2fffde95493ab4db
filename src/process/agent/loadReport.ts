import type { PeerLink } from '../../connection/peerLink.js';
import { defaults } from '../../defaults.js';
import type { MessageOf } from '../../protocol/messages.js';

/** Fields of a load report that are the same for all links. */
export type LoadState = Omit<MessageOf<'load'>, 'type' | 'sequence' | 'coveredSends'>;

/** Pushes load reports to all linked entries: rate-limited after a change, and periodically otherwise. */
export class LoadReporter {
  private readonly receivedRequests = new Map<PeerLink, number>();
  private sequence = 0;
  private lastSentAt = 0;
  private dueAt = 0;
  private timer: NodeJS.Timeout | undefined;
  private stopped = false;

  /**
   * @param describeLoad - Reads the current load
   * @param readClock - Monotonic clock in milliseconds
   */
  constructor(
    private readonly describeLoad: () => LoadState,
    private readonly readClock: () => number,
  ) {}

  /**
   * Adds a link and sends it a first report.
   *
   * @param link - Link to an entry
   */
  addLink(link: PeerLink): void {
    this.receivedRequests.set(link, 0);
    link.onClose(() => {
      this.receivedRequests.delete(link);
    });
    this.publish();
  }

  /**
   * Counts a `request` message, so that later reports on that link cover it.
   *
   * @param link - Link that the message arrived on
   */
  countReceivedRequest(link: PeerLink): void {
    const count = this.receivedRequests.get(link);
    if (count !== undefined) this.receivedRequests.set(link, count + 1);
  }

  /** Schedules a report after a change, at most one per minimum interval. */
  schedule(): void {
    const dueIn = this.lastSentAt + defaults.loadReportMinIntervalMs - this.readClock();
    this.setTimer(Math.max(0, dueIn));
  }

  /** Sends a report to all links now. */
  publish(): void {
    if (this.stopped) return;
    clearTimeout(this.timer);
    this.timer = undefined;
    this.lastSentAt = this.readClock();
    this.sequence += 1;
    const state = this.describeLoad();
    for (const [link, coveredSends] of this.receivedRequests) {
      link.send({ type: 'load', ...state, sequence: this.sequence, coveredSends });
    }
    this.schedulePeriodic();
  }

  stop(): void {
    this.stopped = true;
    clearTimeout(this.timer);
  }

  private schedulePeriodic(): void {
    const timer = setTimeout(() => {
      this.publish();
    }, defaults.loadReportMaxIntervalMs);
    this.timer = timer;
    this.dueAt = this.lastSentAt + defaults.loadReportMaxIntervalMs;
  }

  private setTimer(delayMs: number): void {
    if (this.stopped) return;
    const dueAt = this.readClock() + delayMs;
    if (this.timer !== undefined && this.dueAt <= dueAt) return;
    clearTimeout(this.timer);
    this.dueAt = dueAt;
    this.timer = setTimeout(() => {
      this.publish();
    }, delayMs);
  }
}
