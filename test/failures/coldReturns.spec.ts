import { expect } from 'chai';
import seedrandom from 'seedrandom';
import type { ServiceId, UpstreamId } from '../../src/ids.js';
import { toId } from '../../src/ids.js';
import { createLogger } from '../../src/process/logging.js';
import { Metrics } from '../../src/process/metrics.js';
import { ColdLimits } from '../../src/request/rateLimit/coldLimits.js';
import { RateLimiter } from '../../src/request/rateLimit/rateLimiter.js';
import { RateLimitRecords } from '../../src/request/rateLimit/rateLimitRecords.js';
import type { UpstreamEntry } from '../../src/version/routing/types.js';
import { VirtualTime } from '../support/virtualTime.js';

/** 300 seeds are run by hand: `COLD_SEEDS=300`. */
const SEEDS = Number(process.env.COLD_SEEDS ?? 6);
const COLD_MS = 3_000;
const ADVANCE_MS = 25;
const HEARTBEAT_TIMEOUT_MS = 1_700;
/** A second may contain this factor of the limit and this many requests more. */
const BURST_FACTOR = 1.5;
const BURST_REQUESTS = 5;

interface ColdReturn {
  readonly seed: string;
  readonly gateways: number;
  readonly upstreams: number;
  readonly perSecond: number;
  /** Gateways without a link to any other. */
  readonly cutOff: number;
  /** Whether the gateway that issues most permits dies after a second. */
  readonly issuerDies: boolean;
  readonly isLimited: boolean;
}

interface ColdOutcome {
  /** Most requests that an upstream received in a second, over what it tolerates. */
  readonly excess: number;
  /** Requests received by all upstreams while cold, as a share of what they take. */
  readonly use: number;
}

/** An availability zone of upstreams returns cold while callers want far more than it takes. */
function runColdReturn(options: ColdReturn): ColdOutcome {
  const { gateways, upstreams, perSecond, cutOff } = options;
  const random = seedrandom(options.seed);
  const time = new VirtualTime();
  const service = toId<ServiceId>('chat');
  const entries = Array.from({ length: upstreams }, (_, index) => {
    const id = toId<UpstreamId>(`i-${index}`);
    return { id, service, startedAt: 1, heartbeat: 1, coldRemainingMs: COLD_MS } as UpstreamEntry;
  });
  const arrivals = new Map(entries.map(({ id }) => [id, [] as number[]]));
  const names = Array.from({ length: gateways }, (_, index) => `gateway-${index}`);
  const isLinked = (a: string, b: string): boolean =>
    [a, b].every((name) => names.indexOf(name) >= cutOff);
  const limiters = new Map<string, RateLimiter>();
  for (const self of names) {
    const cold = new ColdLimits({
      getService: (id) => ({ id, maxConnections: 10, coldRequestsPerSecond: perSecond }),
      broadcast: () => undefined,
      logger: createLogger(self),
      metrics: new Metrics(),
    });
    if (options.isLimited) cold.observeListing(entries, 0);
    const limiter = new RateLimiter({
      self,
      records: new RateLimitRecords(),
      coldLimits: cold,
      observer: { observe: () => 'unchanged' },
      countGateways: () => gateways,
      send: (to, message) => {
        time.schedule(time.now + 1 + random() * 4, () => {
          const target = limiters.get(to);
          if (message.type === 'permitDemand') target?.receiveDemand(self, message, time.now);
          if (message.type === 'permits') target?.receivePermits(self, message, time.now);
        });
      },
    });
    limiters.set(self, limiter);
    const advance = (): void => {
      if (limiters.get(self) !== limiter) return;
      cold.expire(time.now);
      limiter.advance(time.now);
      time.schedule(time.now + ADVANCE_MS, advance);
    };
    time.schedule(random() * ADVANCE_MS, advance);
    const intervalMs = (1_000 * gateways) / (4 * perSecond * upstreams);
    const request = (): void => {
      if (limiters.get(self) !== limiter) return;
      const upstream = entries[Math.floor(random() * upstreams)];
      if (upstream === undefined) return;
      const state = limiter.checkPermit(upstream, time.now);
      if (state === 'missing') limiter.requestPermit(upstream, time.now);
      else {
        if (state === 'held') limiter.takePermit(upstream, time.now);
        const at = time.now + random() * 3;
        if (at < COLD_MS) arrivals.get(upstream.id)?.push(at);
      }
      time.schedule(time.now + intervalMs * 2 * random(), request);
    };
    time.schedule(random() * intervalMs, request);
  }
  for (const a of names) {
    for (const b of names) if (a !== b && isLinked(a, b)) limiters.get(a)?.addPeer(b, 0);
  }
  if (options.issuerDies) {
    time.schedule(1_000, () => {
      const dying = names.at(-1) ?? '';
      limiters.delete(dying);
      for (const [name, limiter] of limiters) {
        if (!isLinked(name, dying)) continue;
        time.schedule(time.now + HEARTBEAT_TIMEOUT_MS, () => {
          limiter.removePeer(dying, 'unresponsive', time.now);
        });
      }
    });
  }
  time.runUntil(COLD_MS + 500);
  let excess = -Infinity;
  let received = 0;
  for (const times of arrivals.values()) {
    times.sort((a, b) => a - b);
    received += times.length;
    for (const [index, startsAt] of times.entries()) {
      const count = times.slice(index).filter((at) => at < startsAt + 1_000).length;
      excess = Math.max(excess, count - (perSecond * BURST_FACTOR + BURST_REQUESTS));
    }
  }
  return { excess, use: received / ((perSecond * upstreams * COLD_MS) / 1_000) };
}

const base = { upstreams: 24, cutOff: 0, issuerDies: false, isLimited: true };

describe('an availability zone of upstreams that returns cold under full load', function () {
  this.timeout(600_000);

  it('guards against more requests than cold upstreams tolerate, from all gateways together', () => {
    const exceeded: unknown[] = [];
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      for (const gateways of [1, 3, 13, 36]) {
        for (const perSecond of [4, 32]) {
          const cutOff = seed % 2 === 0 ? Math.floor(gateways / 3) : 0;
          const options = { ...base, seed: String(seed), gateways, perSecond, cutOff };
          const { excess } = runColdReturn({ ...options, issuerDies: seed % 3 === 0 });
          if (excess > 0) exceeded.push({ ...options, excess });
        }
      }
    }
    expect(exceeded).to.deep.equal([]);
  });

  it('guards against cold upstreams that are left idle', () => {
    const idle: unknown[] = [];
    for (const gateways of [1, 3, 13, 36]) {
      const { use } = runColdReturn({ ...base, seed: '1', gateways, perSecond: 32 });
      if (use < 0.8) idle.push({ gateways, use });
    }
    expect(idle).to.deep.equal([]);
  });

  it('guards against a check that gateways without the limit pass', () => {
    const options = { ...base, seed: '1', gateways: 13, perSecond: 32, isLimited: false };
    expect(runColdReturn(options).excess).to.be.greaterThan(0);
  });
});
