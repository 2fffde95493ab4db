import type { UpstreamId } from '../../src/ids.js';
import { toId } from '../../src/ids.js';
import type { Message } from '../../src/protocol/messages.js';
import { Metrics } from '../../src/process/metrics.js';
import { createLogger } from '../../src/process/logging.js';
import type { LeaveReason } from '../../src/request/rateLimit/issuerChoice.js';
import { RateLimiter } from '../../src/request/rateLimit/rateLimiter.js';
import { RateLimitObserver } from '../../src/request/rateLimit/rateLimitObserver.js';
import { RateLimitRecords } from '../../src/request/rateLimit/rateLimitRecords.js';
import { toIncarnation } from '../../src/request/rateLimit/types.js';
import type { UpstreamEntry } from '../../src/version/routing/types.js';

/** Rate limiting of one gateway, for one upstream. */
export interface ScheduleLimiter {
  /** Returns whether a request may be sent now, and counts it as sent. */
  tryTake(now: number): boolean;
  /** Applies the limit in a response, undefined when it states none. */
  observe(perSecond: number | undefined, sentAt: number, now: number): void;
  addPeer(peer: string, now: number): void;
  removePeer(peer: string, reason: LeaveReason, now: number): void;
  receive(peer: string, message: Message, now: number): void;
  advance(now: number): void;
}

/** What a limiter knows of its gateway. */
export interface LimiterHost {
  readonly self: string;
  countGateways(): number;
  send(peer: string, message: Message): void;
}

const upstream = {
  id: toId<UpstreamId>('i-1'),
  startedAt: 1,
} as UpstreamEntry;
const incarnation = toIncarnation(upstream);
const WINDOW_MS = 4_000;

function createPermitLimiter(host: LimiterHost): ScheduleLimiter {
  const records = new RateLimitRecords();
  const observer = new RateLimitObserver({
    records,
    logger: createLogger(host.self),
    metrics: new Metrics(),
    onResponseChange: (_upstream, now) => {
      limiter.broadcastRecord(incarnation, now);
    },
  });
  const limiter = new RateLimiter({
    self: host.self,
    records,
    observer,
    countGateways: () => host.countGateways(),
    send: (peer, message) => {
      host.send(peer, message);
    },
  });
  return {
    tryTake: (now) => {
      const state = limiter.checkPermit(upstream, now);
      if (state === 'held') limiter.takePermit(upstream, now);
      if (state === 'missing') limiter.requestPermit(upstream, now);
      return state !== 'missing';
    },
    observe: (perSecond, sentAt, now) => {
      const observation = { perSecond, sentAt, receivedAt: now };
      const change = observer.observe(incarnation, observation, 'response');
      if (change !== 'unchanged' && change !== 'outdated') {
        limiter.broadcastRecord(incarnation, now);
      }
    },
    addPeer: (peer, now) => {
      limiter.addPeer(peer, now);
    },
    removePeer: (peer, reason, now) => {
      limiter.removePeer(peer, reason, now);
    },
    receive: (peer, message, now) => {
      if (message.type === 'upstreamRateLimits') limiter.receiveRecords(peer, message, now);
      else if (message.type === 'permitDemand') limiter.receiveDemand(peer, message, now);
      else if (message.type === 'permits') limiter.receivePermits(peer, message, now);
    },
    advance: (now) => {
      limiter.advance(now);
    },
  };
}

/** Counts its own requests and, optionally, those that linked gateways report to have sent. */
function createCountingLimiter(host: LimiterHost, isShared: boolean): ScheduleLimiter {
  const peers = new Set<string>();
  let limit: number | undefined;
  let sends: number[] = [];
  return {
    tryTake: (now) => {
      sends = sends.filter((at) => now - at < WINDOW_MS);
      if (limit !== undefined && sends.length >= Math.max(1, (limit * WINDOW_MS) / 1_000)) {
        return false;
      }
      sends.push(now);
      if (isShared) {
        for (const peer of peers) host.send(peer, { type: 'crashNotice', fingerprint: 'sent' });
      }
      return true;
    },
    observe: (perSecond) => {
      limit = perSecond;
    },
    addPeer: (peer) => {
      peers.add(peer);
    },
    removePeer: (peer) => {
      peers.delete(peer);
    },
    receive: (_peer, message, now) => {
      if (message.type === 'crashNotice') sends.push(now);
    },
    advance: () => undefined,
  };
}

/** Sends nothing once a limit is known. */
function createBlockingLimiter(): ScheduleLimiter {
  let isLimited = false;
  return {
    tryTake: () => !isLimited,
    observe: (perSecond) => {
      isLimited ||= perSecond !== undefined;
    },
    addPeer: () => undefined,
    removePeer: () => undefined,
    receive: () => undefined,
    advance: () => undefined,
  };
}

/** Limiters by name: the product's and naive ones. */
export const limiterVariants = {
  permits: createPermitLimiter,
  sharedCounts: (host: LimiterHost) => createCountingLimiter(host, true),
  ownCounts: (host: LimiterHost) => createCountingLimiter(host, false),
  blocking: createBlockingLimiter,
} as const;

export type LimiterVariant = keyof typeof limiterVariants;
