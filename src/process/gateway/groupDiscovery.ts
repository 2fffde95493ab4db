import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamId } from '../../ids.js';
import type { UpstreamStatements } from '../../request/admission/upstreamStatements.js';
import type { GroupHealth } from '../../request/admission/groupHealth.js';
import type { Logger } from '../logging.js';
import type { ConfigurationCache } from './configurationCache.js';
import type { UpstreamProbe } from './types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

/** A new engine may not respond yet; the number of probes is bounded because each has a cost. */
const MAX_GROUP_PROBES = 6;
const GROUP_PROBE_RETRY_INTERVAL_MS = 500;

export interface GroupDiscoveryOptions {
  readonly configurationCache: ConfigurationCache;
  readonly directory: UpstreamDirectory;
  readonly health: GroupHealth;
  readonly statements: Pick<UpstreamStatements, 'recordLeaving'>;
  readonly probe: UpstreamProbe;
  readonly logger: Logger;
  readonly readClock: () => number;
}

/**
 * Probes a new engine for its group, which does not change while the engine runs.
 *
 * @param options - Directory, probe and the health that is told the group
 * @param id - Upstream that was added or has restarted
 */
export async function discoverGroup(options: GroupDiscoveryOptions, id: UpstreamId): Promise<void> {
  const { configurationCache, directory, health, statements, probe, logger, readClock } = options;
  for (let attempt = 0; attempt < MAX_GROUP_PROBES; attempt += 1) {
    const entry = directory.findEntry(id);
    if (entry === undefined) return;
    const service = configurationCache.current?.configuration.services.get(entry.service);
    if (service !== undefined) {
      if (service.engine?.experts === undefined) return;
      // Until its group is known, an engine shares a placeholder group with the others of the service: when one of
      // them refuses work, the refusal may apply to all of them.
      if (attempt === 0) health.setGroup(id, `unknown groups of ${entry.service}`);
      const read = await probe.readGroup(entry.address);
      if (read.isOk()) {
        health.setGroup(id, read.value?.name);
        const { name, isOpen } = read.value ?? {};
        logger.info({ upstream: id, name, isOpen }, 'group of an upstream learned');
        if (read.value?.isLeaving === true) {
          statements.recordLeaving({ id, startedAt: read.value.startedAt });
        }
        if (read.value?.isOpen === false) health.recordFailure(id, readClock());
        return;
      }
    }
    await sleep(GROUP_PROBE_RETRY_INTERVAL_MS);
  }
  health.setGroup(id, undefined);
  logger.warn(
    { upstream: id },
    'could not read the group of an upstream; treating it as ungrouped',
  );
}
