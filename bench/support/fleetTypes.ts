import type { EngineControl, EngineOptions } from '../../test/standins/engine.js';
import type { StoredObject } from '../../src/version/ticket/types.js';

export interface UpstreamPlan {
  readonly id: string;
  readonly availabilityZone: string;
  readonly service: string;
  readonly slots: number;
  readonly engine: EngineOptions;
}

export interface EntryPlan {
  readonly id: string;
  readonly availabilityZone: string;
  readonly linksPerService: number;
  readonly routingPolicy: string;
}

export interface StartedUpstream {
  readonly id: string;
  /** Link address of the agent, `ip:port`. */
  readonly address: string;
  readonly engineUrl: string;
}

export interface StartedEntry {
  readonly id: string;
  readonly httpUrl: string;
}

/** Counters and dumps of all daemons and engines in one worker process. */
export interface WorkerState {
  readonly engines: Readonly<
    Record<string, { generated: number; accepted: number; cancelled: number; crashes: number }>
  >;
  readonly dumps: Readonly<Record<string, unknown>>;
  /** 99th percentile of the event loop delay since the last read, milliseconds. */
  readonly loopDelayP99Ms: number;
}

/** Commands from the bench to a worker process, with their results. */
export interface WorkerCommands {
  startUpstream: { request: UpstreamPlan; answer: StartedUpstream };
  startEntry: { request: EntryPlan; answer: StartedEntry };
  configure: { request: readonly StoredObject[]; answer: null };
  control: { request: { upstream: string; change: EngineControl }; answer: null };
  /** Stops agent and engine immediately, as the loss of their host does. */
  stopUpstream: { request: string; answer: null };
  readState: { request: null; answer: WorkerState };
}

export type CommandName = keyof WorkerCommands;
export type CommandHandlers = {
  readonly [Name in CommandName]: (
    request: WorkerCommands[Name]['request'],
  ) => Promise<WorkerCommands[Name]['answer']> | WorkerCommands[Name]['answer'];
};
