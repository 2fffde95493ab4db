import type { ServiceId } from '../../ids.js';
import type { Message } from '../../protocol/messages.js';
import { ColdLimits } from '../../request/rateLimit/coldLimits.js';
import { RateLimiter } from '../../request/rateLimit/rateLimiter.js';
import { RateLimitObserver } from '../../request/rateLimit/rateLimitObserver.js';
import { RateLimitRecords } from '../../request/rateLimit/rateLimitRecords.js';
import { toIncarnation } from '../../request/rateLimit/types.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { ServiceDefinition } from '../../version/routing/types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

/** Time for which records are kept that no longer matter here; gossip reaches all linked gateways sooner. */
const OBSOLETE_TTL_MS = 60_000;
const DISCARD_INTERVAL_MS = 1_000;

export interface GatewayRateLimitsOptions {
  /** Process id of this gateway. */
  readonly self: string;
  readonly directory: Pick<UpstreamDirectory, 'listAll'>;
  readonly getService: (service: ServiceId) => ServiceDefinition | undefined;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly readClock: () => number;
  readonly readMonotonicClock: () => number;
  readonly countGateways: (now: number) => number;
  readonly send: (gateway: string, message: Message) => void;
  /** Sends a message about cold upstreams to all linked gateways. */
  readonly broadcastCold: (message: Message) => void;
}

/** Rate limits of upstreams at one gateway: what is known of them and the permits to send. */
export class GatewayRateLimits {
  readonly limiter: RateLimiter;
  readonly observer: RateLimitObserver;
  readonly cold: ColdLimits;
  private readonly records = new RateLimitRecords();
  private discardedAt = -Infinity;
  private hadLimits = false;

  constructor(private readonly options: GatewayRateLimitsOptions) {
    const { self, logger, metrics, readClock, send } = options;
    this.observer = new RateLimitObserver({
      records: this.records,
      isCold: (upstream) => this.cold.find(upstream) !== undefined,
      logger,
      metrics,
      onResponseChange: (upstream, now) => {
        this.limiter.broadcastRecord(upstream, now);
      },
    });
    this.cold = new ColdLimits({
      getService: options.getService,
      broadcast: options.broadcastCold,
      logger,
      metrics,
    });
    this.limiter = new RateLimiter({
      self,
      records: this.records,
      coldLimits: this.cold,
      observer: this.observer,
      countGateways: () => options.countGateways(readClock()),
      send,
    });
  }

  /**
   * Issues permits and exchanges demand with the other gateways; called at a short interval.
   *
   * @param now - Current time in milliseconds
   */
  advance(now: number): void {
    this.cold.expire(this.options.readMonotonicClock());
    if (!this.limiter.hasLimits) {
      // The last limit may just have ended, and its permits, demand and issuer with it.
      if (this.hadLimits) this.limiter.advance(now);
      this.hadLimits = false;
      return;
    }
    this.hadLimits = true;
    if (now - this.discardedAt >= DISCARD_INTERVAL_MS) this.discardObsolete(now);
    this.limiter.advance(now);
  }

  private discardObsolete(now: number): void {
    this.discardedAt = now;
    const listed = new Set(this.options.directory.listAll().map(toIncarnation));
    this.records.discardObsolete(listed, now - OBSOLETE_TTL_MS);
  }
}
