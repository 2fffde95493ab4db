import { setTimeout as sleep } from 'node:timers/promises';
import type { UpstreamId } from '../../ids.js';
import type { GroupHealth } from '../../request/admission/groupHealth.js';
import type { Logger } from '../logging.js';
import type { UpstreamProbe } from './types.js';

/** A probe costs as much as two connections; a group that forms anew is found open within this time. */
const PROBE_INTERVAL_MS = 100;
/** Reports are about 200 ms old, so one that is read earlier may still show the group as it was. */
const REPORT_LAG_MS = 300;

export interface GroupProbingOptions {
  readonly health: GroupHealth;
  readonly probe: UpstreamProbe;
  readonly logger: Logger;
  readonly signal: AbortSignal;
  readonly readNow: () => number;
  readonly findAddress: (id: UpstreamId) => string | undefined;
  readonly onOpen: () => void;
}

/**
 * Asks the ranks of broken groups in turn until the group is open again, so that no request is spent on finding out.
 *
 * Ends when the signal is aborted.
 *
 * @param options - Groups and the way to their ranks
 */
export async function maintainGroupProbes(options: GroupProbingOptions): Promise<void> {
  const { health, signal, readNow } = options;
  let turn = 0;
  while (!signal.aborted) {
    const broken = health.listFailed(readNow() - REPORT_LAG_MS);
    turn += 1;
    await Promise.all(
      broken.map(({ group, ranks }) =>
        probeRank(options, group, ranks[turn % ranks.length] ?? ranks[0]),
      ),
    );
    await sleep(PROBE_INTERVAL_MS, undefined, { signal }).catch(() => undefined);
  }
}

async function probeRank(
  options: GroupProbingOptions,
  group: string,
  rank: UpstreamId | undefined,
): Promise<void> {
  const { health, probe, logger, readNow, findAddress, onOpen } = options;
  if (rank === undefined) return;
  const address = findAddress(rank);
  if (address === undefined) {
    // The upstream is gone from the list; a new start has an id of its own.
    health.setGroup(rank, undefined);
    return;
  }
  const askedAt = readNow();
  const read = await probe.readGroup(address);
  if (read.isErr()) {
    logger.debug(
      { upstream: rank, group, code: read.error.code },
      'rank of a broken group gave no report',
    );
    return;
  }
  if (read.value?.name !== group || !read.value.isOpen) return;
  if (!health.recordRecovery(group, askedAt, readNow())) return;
  logger.info({ upstream: rank, group }, 'broken group is open again');
  onOpen();
}
