import type { PlatformStandIn } from '../../test/standins/platform.js';

const STALE_REVISIONS = 10;

/** Fleet operations that the faults use. */
export interface FaultTarget {
  readonly replicas: readonly PlatformStandIn[];
  /** Highest ticket number issued so far. */
  readonly newestTicket: number;
  /** Marks whether a replica is unable to return the newest state. */
  setBroken(replica: number, broken: boolean): void;
  killReader(): void;
  /** Kills a fraction of the nodes at the same time, at least one; they read this replica after the restart. */
  killNodes(fraction: number, replica: number): void;
  /** Pauses one reader. */
  pauseReader(durationMs: number): void;
  /** Partitions the nodes by the replica that they read, or heals the partition. */
  setPartitioned(partitioned: boolean): void;
}

/** A fault during part of the run; the bounds are fractions of the run's duration. */
export interface PlannedFault {
  readonly from: number;
  readonly to: number;
  readonly begin: (target: FaultTarget) => void;
  readonly end: (target: FaultTarget) => void;
}

function createReplicaFault(
  from: number,
  to: number,
  replicas: readonly number[],
  start: (replica: PlatformStandIn, newestTicket: number) => void,
): PlannedFault {
  const begin = (target: FaultTarget): void => {
    for (const index of replicas) {
      const replica = target.replicas[index];
      if (replica !== undefined) start(replica, target.newestTicket);
      target.setBroken(index, true);
    }
  };
  const end = (target: FaultTarget): void => {
    for (const index of replicas) {
      target.replicas[index]?.applyFaults({ down: false, frozen: false, stale: null });
      target.setBroken(index, false);
    }
  };
  return { from, to, begin, end };
}

function createInstantFault(at: number, begin: (target: FaultTarget) => void): PlannedFault {
  return { from: at, to: Infinity, begin, end: () => undefined };
}

const freeze = (replica: PlatformStandIn): void => {
  replica.applyFaults({ frozen: true });
};
const takeDown = (replica: PlatformStandIn): void => {
  replica.applyFaults({ down: true });
};

/** Faults in order of their start; each node reads one of two replicas of the platform. */
export const plannedFaults: readonly PlannedFault[] = [
  // The isolated nodes read a frozen replica until after the partition, so only peers can update them.
  createReplicaFault(0.05, 0.25, [1], freeze),
  {
    from: 0.05,
    to: 0.18,
    begin: (target) => {
      target.setPartitioned(true);
    },
    end: (target) => {
      target.setPartitioned(false);
    },
  },
  createReplicaFault(0.28, 0.4, [0], freeze),
  // A short outage closes every open watch.
  createReplicaFault(0.44, 0.445, [0, 1], takeDown),
  createReplicaFault(0.5, 0.72, [1], (replica, newestTicket) => {
    replica.applyFaults({ stale: Math.max(1, newestTicket - STALE_REVISIONS) });
  }),
  createInstantFault(0.54, (target) => {
    target.killNodes(0, 1);
  }),
  createInstantFault(0.62, (target) => {
    target.killNodes(0.2, 1);
  }),
  createReplicaFault(0.8, 0.88, [0, 1], takeDown),
];

/** Length of a pause; longer than the heartbeat timeout. */
export const PAUSE_MS = 2_500;
