import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamId } from '../../ids.js';
import type { UpstreamStatements } from '../../request/admission/upstreamStatements.js';
import type { GroupHealth } from '../../request/admission/groupHealth.js';
import type { Logger } from '../logging.js';
import type { UpstreamProbe } from './types.js';

/** Bounds how late a re-formed group is detected; one probe costs as much as two connections. */
const PROBE_INTERVAL_MS = 100;
/** Rank reports are about 200 ms old; one read sooner may still show the state before the failure. */
const REPORT_LAG_MS = 300;

export interface GroupProbingOptions {
  readonly health: GroupHealth;
  readonly statements: Pick<UpstreamStatements, 'recordLeaving'>;
  readonly probe: UpstreamProbe;
  readonly logger: Logger;
  readonly signal: AbortSignal;
  readonly readClock: () => number;
  readonly findAddress: (id: UpstreamId) => string | undefined;
  /** Whether an upstream wants no request at present. */
  readonly isPaused: (id: UpstreamId) => boolean;
  readonly onOpen: () => void;
}

/**
 * Probes the ranks of each failed group in turn until the group is open again, so that no request of a caller has to
 * serve as a probe. Returns when the signal is aborted.
 *
 * @param options - Group health, probe and address lookup
 */
export async function maintainGroupProbes(options: GroupProbingOptions): Promise<void> {
  const { health, signal, readClock: readClock } = options;
  let turn = 0;
  while (!signal.aborted) {
    const broken = health.listFailed(readClock() - REPORT_LAG_MS);
    turn += 1;
    await Promise.all(
      broken.map(({ group, ranks }) => {
        const probed = ranks.filter((rank) => !options.isPaused(rank));
        return probeRank(options, group, probed[turn % probed.length]);
      }),
    );
    await sleep(PROBE_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
  }
}

async function probeRank(
  options: GroupProbingOptions,
  group: string,
  rank: UpstreamId | undefined,
): Promise<void> {
  const { health, statements, probe, logger, readClock, findAddress, onOpen } = options;
  if (rank === undefined) return;
  const address = findAddress(rank);
  if (address === undefined) {
    // The upstream is no longer listed; after a restart it has a new id.
    health.setGroup(rank, undefined);
    return;
  }
  const probedAt = readClock();
  const read = await probe.readGroup(address);
  if (read.isErr()) {
    logger.debug(
      { upstream: rank, group, code: read.error.code },
      'could not probe a failed group',
    );
    return;
  }
  if (read.value?.isLeaving === true) {
    statements.recordLeaving({ id: rank, startedAt: read.value.startedAt });
  }
  if (read.value?.name !== group || !read.value.isOpen) return;
  if (!health.recordRecovery(group, probedAt, readClock())) return;
  logger.info({ upstream: rank, group }, 'broken group is open again');
  onOpen();
}
