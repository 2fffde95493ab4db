import { expect } from 'chai';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { EngineModel, UpstreamEntry } from '../../version/routing/types.js';
import { computeGroupLimit } from './groupRoom.js';
import { PassForecast } from './passForecast.js';
import type { Reservation, ReservationRequest } from './types.js';
import { UpstreamBalancer } from './upstreamBalancer.js';

const service = toId<ServiceId>('s');
const zone = toId<AvailabilityZoneId>('z');
const MAX_GAP_MS = 120;
const RANKS = 24;
const engine: EngineModel = {
  slots: 7,
  kvCacheTokens: 288_166,
  stepsPerPass: 7,
  stepMs: 4.84,
  stepMsPerRequest: 0.621,
  prefillTokensPerMs: 74.8,
  typicalPromptTokens: 805,
  typicalOutputTokens: 159,
};
const EXPERT_SHARE = 0.85;
const ranks: readonly UpstreamEntry[] = Array.from({ length: RANKS }, (_, index) => ({
  id: toId<UpstreamId>(`rank-${index}`),
  service,
  address: `10.0.0.${index}:80`,
  availabilityZone: zone,
  slots: engine.slots,
  isDraining: false,
}));

/** Own part of a rank, and the part of the most loaded rank in the work of all for experts. */
const computePassMs = (running: number, skew: number): number => {
  const workMs = engine.stepsPerPass * engine.stepMsPerRequest * (running / RANKS);
  const steps = engine.stepsPerPass * engine.stepMs;
  return steps + workMs * (1 - EXPERT_SHARE + EXPERT_SHARE * skew);
};
const createRequest = (fields: Partial<ReservationRequest> = {}): ReservationRequest => ({
  service,
  excluded: new Set(),
  priority: 1,
  arrivedAt: 0,
  expiresAt: 5_000,
  maxWaitMs: 180,
  ...fields,
});
const createBalancer = (findPace?: (id: UpstreamId) => number): UpstreamBalancer => {
  const balancer = new UpstreamBalancer({
    availabilityZone: zone,
    listReady: () => ranks,
    getService: () => ({ id: service, maxConnections: 9, engine }),
    getMaxGapMs: () => MAX_GAP_MS,
    ...(findPace === undefined ? {} : { findPace }),
  });
  for (const { id } of ranks) balancer.health.setGroup(id, 'group-1');
  return balancer;
};
const fill = (balancer: UpstreamBalancer, now: number, promptTokens?: number): Reservation[] => {
  const reservations: Reservation[] = [];
  for (;;) {
    const reservation = balancer.tryReserve(createRequest({ promptTokens }), now);
    if (reservation === undefined) return reservations;
    reservations.push(reservation);
  }
};
const observePasses = (
  forecast: PassForecast,
  pass: { running: number; skew: number; from: number; count: number },
): number => {
  let now = pass.from;
  const load = { running: pass.running, ranks: RANKS };
  for (let count = 0; count < pass.count; count += 1) {
    const passMs = computePassMs(pass.running, pass.skew);
    now += passMs;
    for (let stream = 0; stream < 8; stream += 1) forecast.recordGap(passMs, load, engine, now);
  }
  return now;
};
const computeLimit = (forecast: PassForecast): number =>
  computeGroupLimit(forecast, RANKS, MAX_GAP_MS, engine).requests;

describe('room of a group under a wave of requests', () => {
  it('guards against passes that become longer than the accepted pause', () => {
    for (const skew of [1.2, 1.6, 2, 2.5, 3]) {
      const forecast = new PassForecast();
      let now = 0;
      for (let step = 0; step < 60; step += 1) {
        now = observePasses(forecast, {
          running: computeLimit(forecast),
          skew,
          from: now,
          count: 1,
        });
      }
      const running = computeLimit(forecast);
      expect(computePassMs(running, skew), `skew ${skew}`).to.be.below(MAX_GAP_MS);
      const isFull = running === RANKS * engine.slots;
      if (!isFull) expect(computePassMs(running, skew)).to.be.above(0.7 * MAX_GAP_MS);
    }
  });

  it('guards against a sample for each stream of a pass', () => {
    const once = new PassForecast();
    const often = new PassForecast();
    const load = { running: 100, ranks: RANKS };
    for (const now of [100, 200, 300, 400]) {
      for (const lag of [0, 1, 3]) once.recordGap(100, load, engine, now + lag);
      for (let lag = 0; lag < 4; lag += 0.1) often.recordGap(100, load, engine, now + lag);
    }
    expect(once.currentFactor).to.not.equal(new PassForecast().currentFactor);
    expect(often.currentFactor).to.equal(once.currentFactor);
  });

  it('guards against less room after a single long pass, as at a change of the map', () => {
    const forecast = new PassForecast();
    const now = observePasses(forecast, { running: 100, skew: 2, from: 0, count: 60 });
    const before = computeLimit(forecast);
    const after = observePasses(forecast, { running: 100, skew: 9, from: now, count: 1 });
    observePasses(forecast, { running: 100, skew: 2, from: after, count: 2 });
    expect(computeLimit(forecast)).to.be.at.least(0.9 * before);
  });

  it('guards against the factor of a gateway that catches up on late events', () => {
    const forecast = new PassForecast();
    const load = { running: 100, ranks: RANKS };
    for (const now of [100, 110, 120]) forecast.recordGap(10, load, engine, now);
    expect(forecast.currentFactor).to.equal(new PassForecast().currentFactor);
  });
});

describe('room of a group when demand shifts to other experts', () => {
  it('guards against long pauses for more than a few passes', () => {
    const forecast = new PassForecast();
    let now = observePasses(forecast, { running: 130, skew: 1.6, from: 0, count: 100 });
    expect(forecast.currentFactor).to.be.below(1.4);
    let passes = 0;
    while (computePassMs(computeLimit(forecast), 3.3) > MAX_GAP_MS) {
      const running = computeLimit(forecast);
      now = observePasses(forecast, { running, skew: 3.3, from: now, count: 1 });
      passes += 1;
    }
    expect(passes).to.be.within(1, 5);
  });
});

describe('room of a group shared by 13 gateways with late counts', () => {
  const GATEWAYS = 13;
  /** Steps of one count interval; a request runs for 20 of them. */
  const STEPS = 60;
  const RUNS_FOR_STEPS = 20;

  const playSteps = (
    asked: (gateway: number, step: number) => number,
  ): { most: number; used: number } => {
    const balancers = Array.from({ length: GATEWAYS }, () => createBalancer());
    const running = balancers.map((): Reservation[][] => []);
    let most = 0;
    let used = 0;
    for (let step = 0; step < STEPS; step += 1) {
      const now = step * 60;
      for (const [index, balancer] of balancers.entries()) {
        balancer.health.recordProgress(ranks[0]!.id, now);
        for (const [other, peer] of balancers.entries()) {
          const counts = new Map<string, number>(peer.listInFlight());
          if (other !== index) balancer.applyPeerCounts(`gateway-${other}`, counts, now);
        }
      }
      let total = 0;
      for (const [index, balancer] of balancers.entries()) {
        const sent: Reservation[] = [];
        const ended = running[index]!.length >= RUNS_FOR_STEPS ? running[index]!.shift()! : [];
        for (const reservation of ended) reservation.release(now + 1);
        for (let count = 0; count < asked(index, step); count += 1) {
          const reservation = balancer.tryReserve(createRequest(), now + 1);
          if (reservation !== undefined) sent.push(reservation);
        }
        running[index]!.push(sent);
        total += running[index]!.flat().length;
      }
      most = Math.max(most, total);
      if (step >= STEPS / 2) used += total / (STEPS / 2);
    }
    return { most, used };
  };

  it('guards against gateways that fill the same gap at once', () => {
    const limit = computeLimit(new PassForecast());
    const { most, used } = playSteps(() => 50);
    expect(most).to.be.at.most(limit * 1.1);
    expect(used).to.be.at.least(limit * 0.9);
  });

  it('guards against room that stays unused at low load', () => {
    const limit = computeLimit(new PassForecast());
    const oneBusy = playSteps((gateway) => (gateway === 0 ? 3 : 0));
    expect(oneBusy.used).to.be.at.least(0.95 * 3 * RUNS_FOR_STEPS);
    const allBusy = playSteps((gateway, step) => ((gateway + step) % 4 === 0 ? 1 : 0));
    const asked = (GATEWAYS / 4) * RUNS_FOR_STEPS;
    expect(asked).to.be.below(limit / 2);
    expect(allBusy.used).to.be.at.least(0.95 * asked);
  });
});

describe('room of a group that reads prompts', () => {
  it('guards against a long prompt that is read beside many short ones', () => {
    const balancer = createBalancer();
    fill(balancer, 0, 0)
      .slice(RANKS)
      .forEach((reservation) => {
        reservation.release(0);
      });
    balancer.health.recordProgress(ranks[0]!.id, 990);
    expect(balancer.tryReserve(createRequest({ promptTokens: 40_000 }), 1_000)).to.not.equal(
      undefined,
    );
    const short = fill(balancer, 1_001, 300);
    expect(balancer.tryReserve(createRequest({ promptTokens: 40_000 }), 1_002)).to.equal(undefined);
    expect(fill(balancer, 1_300, 300).length).to.be.above(short.length);
  });
});

describe('room of a group with a slow rank', () => {
  it('guards against work for a rank that holds up its group while others have room', () => {
    const slow = ranks[5]!.id;
    const balancer = createBalancer((id) => (id === slow ? 5 : 1));
    for (let count = 0; count < RANKS; count += 1) {
      expect(balancer.tryReserve(createRequest(), 0)?.upstream.id).to.not.equal(slow);
    }
  });
});

describe('room of a group when all callers return to gateways that have just started', () => {
  it('guards against more requests than the initial map serves within the pause', () => {
    const admitted = fill(createBalancer(), 0, 805).length;
    expect(computePassMs(admitted, 2)).to.be.below(MAX_GAP_MS);
    expect(admitted).to.be.above(RANKS);
  });

  it('guards against the factor of the changed map after the group has re-formed', () => {
    const balancer = createBalancer();
    const counts = new Map<string, number>(ranks.map(({ id }) => [id, 4]));
    let now = 0;
    for (let pass = 0; pass < 100; pass += 1) {
      balancer.applyPeerCounts('gateway-1', counts, now);
      now += computePassMs(4 * RANKS, 1);
      balancer.recordEventGap(ranks[0]!, computePassMs(4 * RANKS, 1), now);
    }
    expect(balancer.describeGroups()['group-1']?.factor).to.be.below(1.5);
    balancer.health.recordFailure(ranks[0]!.id, now);
    balancer.measureRoom(service, now + 30);
    balancer.health.recordRecovery('group-1', now + 700, now + 710);
    balancer.measureRoom(service, now + 740);
    expect(balancer.describeGroups()['group-1']?.factor).to.equal(2);
  });
});

describe('decisions with many upstreams and gateways', () => {
  it('guards against decisions that read the counts of all gateways for each request', () => {
    const balancer = createBalancer();
    for (let peer = 0; peer < 35; peer += 1) {
      balancer.applyPeerCounts(`gateway-${peer}`, new Map(ranks.map(({ id }) => [id, 1])), 0);
    }
    const startedAt = performance.now();
    for (let count = 0; count < 2_000; count += 1) balancer.tryReserve(createRequest(), 1);
    expect((performance.now() - startedAt) / 2_000).to.be.below(0.2);
  });
});
