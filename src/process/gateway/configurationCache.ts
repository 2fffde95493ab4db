import type { RoutingConfiguration, Workspace } from '../../version/routing/types.js';
import { RouteTable } from '../../version/routing/routeTable.js';

/** A configuration version together with its route table. */
export interface CachedConfiguration {
  readonly configuration: RoutingConfiguration;
  readonly table: RouteTable;
  /** Text as published; empty in tests that need none. */
  readonly document: string;
}

/**
 * The newest configuration known and how fresh that knowledge is.
 *
 * A key may be honoured only while a read of the store that began less than `maxProofAgeMs` ago has shown the
 * configuration that grants it. Versions never go back within one process.
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
   * Takes over what a read of the store returned.
   *
   * @param configuration - Decoded configuration
   * @param readStartedAt - When the read was sent, on the suspend-aware clock
   * @param document - Text as published, which peers may ask for
   * @returns True when the version is newer than the one held
   */
  applyRead(configuration: RoutingConfiguration, readStartedAt: number, document = ''): boolean {
    if (configuration.version < this.version) return false;
    this.validatedAt = Math.max(this.validatedAt, readStartedAt);
    if (configuration.version === this.version) return false;
    this.held = { configuration, table: new RouteTable(configuration), document };
    return true;
  }

  /**
   * Notes that the held version was still the newest at a time.
   *
   * @param version - Version that the store showed
   * @param readStartedAt - When the read was sent, on the suspend-aware clock
   */
  revalidate(version: number, readStartedAt: number): void {
    if (version === this.version) this.validatedAt = Math.max(this.validatedAt, readStartedAt);
  }

  /**
   * Computes how old the proof of the held version is.
   *
   * @param now - Suspend-aware clock
   * @returns Milliseconds, infinite without any read
   */
  computeAge(now: number): number {
    return now - this.validatedAt;
  }

  /**
   * Checks whether keys may be honoured.
   *
   * @param now - Suspend-aware clock
   * @returns False when a key may have been revoked without notice
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
