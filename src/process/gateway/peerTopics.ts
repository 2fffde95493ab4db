import type { CloseReason, MessageHandlers } from '../../connection/peerLink.js';
import type { Message } from '../../protocol/messages.js';
import type { UpstreamStatements } from '../../request/admission/upstreamStatements.js';
import type { CrashContainment } from '../../request/containment/crashContainment.js';
import type { ColdLimits } from '../../request/rateLimit/coldLimits.js';
import type { LeaveReason } from '../../request/rateLimit/issuerChoice.js';
import type { RateLimiter } from '../../request/rateLimit/rateLimiter.js';
import type { GroupDiscovery } from './groupDiscovery.js';

/** Features in the hello of gateways that understand the messages of a topic. */
export const peerFeatures = {
  rateLimits: 'rateLimits',
  crashes: 'crashReports',
  statements: 'upstreamStatements',
  cold: 'coldUpstreams',
  groups: 'upstreamGroups',
} as const;

/** One kind of state that gateways exchange. */
export interface PeerTopic {
  readonly feature: string;
  readonly handlers: MessageHandlers;
  /** Creates the messages for a gateway that has just been linked. */
  createGreeting?(now: number): Message[];
  /** Called when a gateway that has the feature has been linked. */
  onLinked?(processId: string, now: number): void;
  /** Called when the link to a gateway has closed. */
  onLost?(processId: string, reason: CloseReason, now: number): void;
}

/** How a gateway leaves its permit issuer, by the reason for which the link closed. */
const leaveReasons: Readonly<Record<CloseReason, LeaveReason>> = {
  closed: 'closed',
  protocol_error: 'closed',
  heartbeat_timeout: 'unresponsive',
  hello_timeout: 'unresponsive',
  flooded: 'unresponsive',
  unread: 'unresponsive',
};

/**
 * Exchanges crashes of upstreams, all of them with a new link.
 *
 * @param crashes - Owner of the state
 * @param readClock - Current time in milliseconds
 * @returns The topic
 */
export function createCrashTopic(
  crashes: Pick<CrashContainment, 'receiveReport' | 'receiveCleared' | 'createReports'>,
  readClock: () => number,
): PeerTopic {
  return {
    feature: peerFeatures.crashes,
    handlers: {
      // A gateway of an earlier version does not tell the service and the upstream.
      crashNotice: () => undefined,
      crashReport: (message) => {
        crashes.receiveReport(message, readClock());
      },
      crashCleared: (message) => {
        crashes.receiveCleared(message, readClock());
      },
    },
    createGreeting: (now) => crashes.createReports(now),
  };
}

/**
 * Exchanges which upstreams have stated that they leave, all of them with a new link.
 *
 * @param statements - Owner of the state
 * @returns The topic
 */
export function createStatementTopic(
  statements: Pick<UpstreamStatements, 'receiveLeaving' | 'createMessages'>,
): PeerTopic {
  return {
    feature: peerFeatures.statements,
    handlers: {
      upstreamLeaving: (message, link) => {
        statements.receiveLeaving(message, link.peer.processId);
      },
    },
    createGreeting: () => statements.createMessages(),
  };
}

/**
 * Exchanges the groups of upstreams, all that are known with a new link.
 *
 * @param discovery - Owner of the state
 * @returns The topic
 */
export function createGroupTopic(
  discovery: Pick<GroupDiscovery, 'receive' | 'createMessages' | 'knowledge'>,
): PeerTopic {
  return {
    feature: peerFeatures.groups,
    handlers: {
      upstreamGroups: (message, link) => {
        discovery.receive(message, link.peer.processId);
      },
    },
    createGreeting: () => discovery.createMessages(),
    onLinked: (processId) => {
      discovery.knowledge.addTeller(processId);
    },
    onLost: (processId) => {
      discovery.knowledge.removeTeller(processId);
    },
  };
}

/**
 * Exchanges rate limits of upstreams, demand for permits and permits.
 *
 * @param limiter - Owner of the state
 * @param readClock - Current time in milliseconds
 * @param onPermits - Called when permits arrive, with which queued requests may be sent
 * @returns The topic
 */
export function createRateLimitTopic(
  limiter: Pick<
    RateLimiter,
    'addPeer' | 'removePeer' | 'receiveRecords' | 'receiveDemand' | 'receivePermits'
  >,
  readClock: () => number,
  onPermits: () => void,
): PeerTopic {
  return {
    feature: peerFeatures.rateLimits,
    handlers: {
      upstreamRateLimits: (message, link) => {
        limiter.receiveRecords(link.peer.processId, message, readClock());
      },
      permitDemand: (message, link) => {
        limiter.receiveDemand(link.peer.processId, message, readClock());
      },
      permits: (message, link) => {
        limiter.receivePermits(link.peer.processId, message, readClock());
        onPermits();
      },
    },
    onLinked: (processId, now) => {
      limiter.addPeer(processId, now);
    },
    onLost: (processId, reason, now) => {
      limiter.removePeer(processId, leaveReasons[reason], now);
    },
  };
}

/**
 * Exchanges which upstreams are cold, all of them with a new link.
 *
 * @param cold - Owner of the state
 * @param readMonotonicClock - Current time in milliseconds
 * @returns The topic
 */
export function createColdTopic(
  cold: Pick<ColdLimits, 'receive' | 'createMessages'>,
  readMonotonicClock: () => number,
): PeerTopic {
  return {
    feature: peerFeatures.cold,
    handlers: {
      coldUpstreams: (message, link) => {
        cold.receive(message.upstreams, link.peer.processId, readMonotonicClock());
      },
    },
    createGreeting: () => cold.createMessages(readMonotonicClock()),
  };
}
