import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import { finishStalledChange } from './finishStalledChange.js';
import { StandstillDetector } from './standstillDetector.js';
import type { RankEngine, RankReport, RemoteEngine } from './types.js';

/** A deputy gives up after this time. */
const TIMEOUT_MS = 600;
/** Time until a deputy acts again on a group that still stands still; reads on other hosts cost their engines time. */
const REPEAT_MS = 500;

export interface DeputyOptions {
  /** Engine on the ranker's host. */
  readonly engine: RankEngine;
  /** Opens a connection to the engine of another rank. */
  readonly connectEngine: (address: string) => RemoteEngine;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Watches the group of the local rank, and acts for its coordinator when that has stopped in the midst of a change. */
export class Deputy {
  private readonly standstill = new StandstillDetector();
  /** Addresses by rank, as told by the coordinator. */
  private addresses: readonly string[] = [];
  private nextAt = -Infinity;

  constructor(private readonly options: DeputyOptions) {}

  /**
   * Sets where the engines of the group are.
   *
   * @param addresses - Addresses by rank, `ip:port`
   */
  setEngines(addresses: readonly string[]): void {
    this.addresses = addresses;
  }

  /**
   * Evaluates a report of the local engine.
   *
   * @param report - Report
   * @param now - Current time in milliseconds
   */
  observe(report: RankReport, now: number): void {
    if (!this.standstill.observe(report, now)) return;
    if (now < this.nextAt || this.addresses.length !== report.size) return;
    this.nextAt = Infinity;
    void this.act(report, now);
  }

  private async act(report: RankReport, startedAt: number): Promise<void> {
    const { engine, connectEngine, logger, metrics } = this.options;
    const { group, epoch, pass, rank } = report;
    const readClock = (): number => performance.now();
    const remotes = this.addresses.map((address) => connectEngine(address));
    const engines = remotes.map((remote, index) => (index === rank ? engine : remote));
    const deadlineAt = startedAt + TIMEOUT_MS;
    const result = await finishStalledChange(engines, report, deadlineAt, readClock);
    for (const remote of remotes) remote.close();
    this.nextAt = readClock() + REPEAT_MS;
    const tookMs = Math.round(readClock() - startedAt);
    const { end, unread } = result;
    logger.warn(
      { group, epoch, pass, end, unread: unread.join(), tookMs },
      'acted for the coordinator of a stalled group',
    );
    metrics.addCount(`deputy_${end}`);
  }
}
