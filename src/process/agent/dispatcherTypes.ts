import type { RequestError } from '../../errors.js';

/** One unit of work for the upstream. */
export interface Job {
  readonly id: string;
  readonly workspace: string;
  /** Remaining work units. */
  readonly cost: number;
  /** Deadline in milliseconds; the job is not started at or after it. */
  readonly expiresAt: number;
  /** Runs only while no other job runs. */
  readonly exclusive: boolean;
  /** Can be stopped and resumed later. */
  readonly preemptible: boolean;
  /** Runs the job and resolves when its slot is free. `requeue` queues it again to be resumed. */
  run(): Promise<'finished' | 'requeue'>;
  /** Called when the job is due to start but cannot meet its deadline. Jobs without it run regardless. */
  refuse?(error: RequestError): void;
  /** Called in a drain when the job has not started and cannot end before the limit. */
  refuseInDrain(error: RequestError): void;
  /** Called when the job expires in the queue. */
  expire(): void;
  /** Stops the job; `run` then resolves with `requeue`. */
  preempt(): void;
}

export interface DispatcherPolicy {
  /** Guaranteed fraction of the service. */
  readonly getShare: (workspace: string) => number;
  /** Work units per second, assumed until the throughput has been measured; 0 when unknown. */
  readonly getNominalThroughput: () => number;
  readonly getMaxQueued: (workspace: string) => number;
  readonly readClock: () => number;
  readonly onChange: () => void;
}
