import type { AvailabilityZoneId } from '../../ids.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

/** The operator writes again what a restored store lacks within about 2 s. */
const REWRITE_GRACE_MS = 2_200;

/** Availability zones that a read of the store returned as taken out of service. */
export interface EvacuationRead {
  readonly zones: readonly AvailabilityZoneId[];
  /** When the read was sent, suspend-aware clock, milliseconds. */
  readonly readStartedAt: number;
  /** Era of the store; rises each time it is restored from an older copy. */
  readonly era: number;
  /** Whether the read returned everything that the store had acknowledged. */
  readonly isComplete: boolean;
}

export interface ZoneEvacuationsOptions {
  readonly directory: Pick<UpstreamDirectory, 'blockZones' | 'listAll'>;
  /** Called with the upstreams that return to service, before they can be chosen. */
  readonly onReturn?: (entries: readonly UpstreamEntry[], now: number) => void;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/**
 * The availability zones that the operator has taken out of service.
 *
 * The last read stays in force until a later one is known. After a restore of the store from an older copy, zones are
 * only added at first, because the copy may lack some and the operator writes them again.
 */
export class ZoneEvacuations {
  private zones: ReadonlySet<AvailabilityZoneId> = new Set();
  private readStartedAt = -Infinity;
  private era: number | undefined;
  private retainUntil = -Infinity;

  constructor(private readonly options: ZoneEvacuationsOptions) {}

  /**
   * Applies a read by this process or by a peer. One of an older era, or sent before the last applied one, is ignored.
   *
   * @param read - Zones and what they rest on
   * @param now - Current time on the monotonic clock, in milliseconds
   * @param clockNow - Current time on the clock of `read.readStartedAt`, in milliseconds
   * @returns Whether upstreams of other zones may get work than before
   */
  apply(read: EvacuationRead, now: number, clockNow: number): boolean {
    const { era, readStartedAt } = read;
    if (era > (this.era ?? 0)) this.retainUntil = now + REWRITE_GRACE_MS;
    if (this.era === undefined || era > this.era) {
      this.era = era;
      this.readStartedAt = -Infinity;
    }
    const isRetained = now < this.retainUntil;
    const isOutdated = era < this.era || readStartedAt < this.readStartedAt;
    // A peer that has not read the restored store yet may know a zone that the copy lacks.
    if (isOutdated && !isRetained) return false;
    if (!isOutdated) this.readStartedAt = readStartedAt;
    const kept = isRetained || !read.isComplete ? this.zones : [];
    return this.replaceZones(new Set([...kept, ...read.zones]), clockNow - readStartedAt, now);
  }

  /**
   * Computes the age of the zones.
   *
   * @param now - Current time on the suspend-aware clock, in milliseconds
   * @returns Milliseconds since the last applied read was sent; infinite before the first one
   */
  computeAge(now: number): number {
    return now - this.readStartedAt;
  }

  /**
   * Describes the zones for peers and operators.
   *
   * @param now - Current time on the suspend-aware clock, in milliseconds
   * @returns Zones in the order of their names, age and era of the read; undefined before the first one
   */
  describe(now: number): { zones: string[]; ageMs: number; era: number } | undefined {
    const ageMs = this.computeAge(now);
    if (this.era === undefined || !Number.isFinite(ageMs)) return undefined;
    return { zones: [...this.zones].sort(), ageMs, era: this.era };
  }

  private replaceZones(
    zones: ReadonlySet<AvailabilityZoneId>,
    readAgeMs: number,
    now: number,
  ): boolean {
    const { directory, logger, metrics } = this.options;
    const started = [...zones].filter((zone) => !this.zones.has(zone));
    const ended = [...this.zones].filter((zone) => !zones.has(zone));
    if (started.length === 0 && ended.length === 0) return false;
    this.zones = zones;
    const endedZones = new Set(ended);
    const returning = directory
      .listAll()
      .filter(({ availabilityZone }) => endedZones.has(availabilityZone));
    this.options.onReturn?.(returning, now);
    directory.blockZones(zones);
    const countUpstreams = (zone: AvailabilityZoneId): number =>
      directory.listAll().filter(({ availabilityZone }) => availabilityZone === zone).length;
    for (const availabilityZone of started) {
      const upstreams = countUpstreams(availabilityZone);
      logger.info({ availabilityZone, upstreams, readAgeMs }, 'availability zone out of service');
    }
    for (const availabilityZone of ended) {
      const upstreams = countUpstreams(availabilityZone);
      logger.info({ availabilityZone, upstreams, readAgeMs }, 'availability zone back in service');
    }
    metrics.addCount('zone_evacuations_started', started.length);
    metrics.addCount('zone_evacuations_ended', ended.length);
    return true;
  }
}
