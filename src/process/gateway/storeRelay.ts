import type { Metrics } from '../metrics.js';
import type { ConfigurationCache } from './configurationCache.js';
import type { StoreEra } from './storeEra.js';
import { listReadersToAsk } from './storeReaders.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';
import type { ZoneEvacuations } from './zoneEvacuations.js';

/** Older state of a reader is not relied on: the reader has missed a read, as it reads every 0.65 s. */
const MAX_RELAYED_AGE_MS = 1_000;

export interface StoreRelayOptions {
  readonly self: string;
  readonly configurationCache: Pick<ConfigurationCache, 'current' | 'computeAge'>;
  readonly directory: Pick<UpstreamDirectory, 'computeAge' | 'listAll'>;
  readonly evacuations: Pick<ZoneEvacuations, 'computeAge'>;
  readonly storeEra: Pick<StoreEra, 'isConfirmed'>;
  readonly metrics: Pick<Metrics, 'addCount'>;
  readonly readClock: () => number;
  readonly readMonotonicClock: () => number;
  /** Lists the process ids of the linked gateways. */
  readonly listLinked: () => string[];
  /** Asks a gateway for its state, and applies what it replies. */
  readonly queryGateway: (processId: string) => Promise<unknown>;
}

/**
 * Keeps configuration, evacuated zones and upstream list current through the gateways that read the store, so that the number of reads does
 * not grow with the number of gateways. A gateway that gets nothing recent from them reads the store itself.
 */
export class StoreRelay {
  /** Whether the last completed refresh succeeded; unchanged while one is under way. */
  isServed = false;

  constructor(private readonly options: StoreRelayOptions) {}

  /**
   * Asks the readers.
   *
   * @returns False if this gateway has to read the store itself
   */
  async refresh(): Promise<boolean> {
    this.isServed = await this.queryReaders();
    return this.isServed;
  }

  private async queryReaders(): Promise<boolean> {
    const { self, listLinked, queryGateway } = this.options;
    // A process that has just started must not take its first state from a single peer.
    if (!this.hasState()) return false;
    const readers = listReadersToAsk(self, listLinked());
    for (const reader of readers) {
      await queryGateway(reader);
      if (this.isRecent()) return true;
    }
    if (readers.length > 0) this.options.metrics.addCount('store_relay_fallbacks');
    return false;
  }

  private hasState(): boolean {
    const { configurationCache, directory, storeEra, readMonotonicClock } = this.options;
    if (configurationCache.current === undefined || directory.listAll().length === 0) return false;
    return storeEra.isConfirmed(readMonotonicClock());
  }

  private isRecent(): boolean {
    const { configurationCache, directory, evacuations, readClock } = this.options;
    const now = readClock();
    const ages = [configurationCache, directory, evacuations].map((state) => state.computeAge(now));
    return Math.max(...ages) <= MAX_RELAYED_AGE_MS;
  }
}
