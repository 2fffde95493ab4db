import type { MapMessage } from '../../version/expertMap/types.js';
import type { GroupBody, GroupBodyOf } from './types.js';

/** Receivers of `rankControl` bodies in a group session. */
export interface BodyReceivers {
  /** Handles a message for the participant of the local rank. */
  handleAsRank(message: MapMessage): void;
  /** Handles a reply to the coordinator, when the local rank is the coordinator. */
  handleAsCoordinator(message: MapMessage): void;
  recordStatus(status: GroupBodyOf<'status'>): void;
  acceptPlan(plan: GroupBodyOf<'plan'>): void;
  recordLoad(load: GroupBodyOf<'expertLoad'>): void;
  loadInitialMap(message: GroupBodyOf<'begin'>): void;
  recordIncarnationStart(message: GroupBodyOf<'begun'>): void;
}

type BodyHandlers = {
  readonly [Type in GroupBody['type']]: (receivers: BodyReceivers, body: GroupBodyOf<Type>) => void;
};

const handleAsRank = (receivers: BodyReceivers, message: MapMessage): void => {
  receivers.handleAsRank(message);
};
const handleAsCoordinator = (receivers: BodyReceivers, message: MapMessage): void => {
  receivers.handleAsCoordinator(message);
};

/** Handlers of `rankControl` bodies by type. */
const bodyHandlers: BodyHandlers = {
  begin: (receivers, message) => {
    receivers.loadInitialMap(message);
    receivers.handleAsRank(message);
  },
  prepare: handleAsRank,
  decide: handleAsRank,
  promiseRequest: handleAsRank,
  query: handleAsRank,
  begun: (receivers, message) => {
    receivers.recordIncarnationStart(message);
  },
  prepared: handleAsCoordinator,
  decided: handleAsCoordinator,
  promise: handleAsCoordinator,
  status: (receivers, status) => {
    receivers.recordStatus(status);
  },
  plan: (receivers, plan) => {
    receivers.acceptPlan(plan);
  },
  expertLoad: (receivers, load) => {
    receivers.recordLoad(load);
  },
};

/**
 * Handles one body.
 *
 * @param receivers - Receivers in the session
 * @param body - Parsed body
 */
export function handleBody(receivers: BodyReceivers, body: GroupBody): void {
  const handler = bodyHandlers[body.type] as (receivers: BodyReceivers, body: GroupBody) => void;
  handler(receivers, body);
}
