import type { RoutingConfiguration, Workspace } from '../../version/routing/types.js';
import type { ServiceId } from '../../ids.js';
import { computeMaxGaps } from '../../version/routing/maxGaps.js';
import { RouteTable } from '../../version/routing/routeTable.js';

/** A configuration version together with its route table. */
export interface CachedConfiguration {
  readonly configuration: RoutingConfiguration;
  readonly table: RouteTable;
  /** Shortest gap between events that the streams of a service allow; services without streams are left out. */
  readonly maxGapsMs: ReadonlyMap<ServiceId, number>;
  /** Configuration text as published, which peers may request. */
  readonly document: string;
}

/**
 * Caches the newest known configuration and when it was last validated against the store.
 *
 * A key may be accepted only while the configuration that grants it was returned by a read of the store that started
 * less than `maxAgeMs` ago. Within one process the version never decreases.
 */
export class ConfigurationCache {
  private held: CachedConfiguration | undefined;
  private validatedAt = -Infinity;

  constructor(private readonly maxAgeMs: number) {}

  get current(): CachedConfiguration | undefined {
    return this.held;
  }

  get version(): number {
    return this.held?.configuration.version ?? 0;
  }

  /**
   * Applies the result of a read of the store, made by this process or by a peer. A version older than the cached one
   * is ignored and validates nothing.
   *
   * @param configuration - Decoded configuration
   * @param readStartedAt - When the read was sent, suspend-aware clock, milliseconds
   * @param document - Configuration text as published
   * @returns True when the version is newer than the cached one
   */
  applyRead(configuration: RoutingConfiguration, readStartedAt: number, document = ''): boolean {
    if (configuration.version < this.version) return false;
    this.validatedAt = Math.max(this.validatedAt, readStartedAt);
    if (configuration.version === this.version) return false;
    this.held = {
      configuration,
      table: new RouteTable(configuration),
      maxGapsMs: computeMaxGaps(configuration),
      document,
    };
    return true;
  }

  /**
   * Records that the cached version was still the newest one when a read started.
   *
   * @param version - Version that the store returned; any other than the cached one is ignored
   * @param readStartedAt - When the read was sent, suspend-aware clock, milliseconds
   */
  revalidate(version: number, readStartedAt: number): void {
    if (version === this.version) this.validatedAt = Math.max(this.validatedAt, readStartedAt);
  }

  /**
   * Computes the time since the cached version was last validated.
   *
   * @param now - Current time on the suspend-aware clock, in milliseconds
   * @returns Milliseconds since the validating read was sent; infinite before the first one
   */
  computeAge(now: number): number {
    return now - this.validatedAt;
  }

  /**
   * Checks whether keys may be accepted.
   *
   * @param now - Current time on the suspend-aware clock, in milliseconds
   * @returns False when a key may have been revoked since the last validation
   */
  isFresh(now: number): boolean {
    return this.computeAge(now) < this.maxAgeMs;
  }

  /**
   * Finds the workspace that holds a key.
   *
   * @param key - Key of the caller
   * @returns The workspace, or undefined when no workspace holds the key
   */
  findWorkspace(key: string | undefined): Workspace | undefined {
    if (key === undefined) return undefined;
    return this.held?.configuration.workspaceByKey?.get(key);
  }
}
