import type { AdmissionQueue } from '../../src/request/admission/admissionQueue.js';
import type { RoomSource } from '../../src/request/admission/serviceRoom.js';
import type { Refusal, ReservationRequest } from '../../src/request/admission/types.js';
import type { ServiceId, UpstreamId, WorkspaceId } from '../../src/ids.js';
import { toId } from '../../src/ids.js';

const TICK_MS = 5;
const DISPATCH_INTERVAL_MS = 25;
const COUNT_DELAY_TICKS = 12;
export const service = toId<ServiceId>('s');

/** A kind of request. */
export interface Kind {
  readonly priority: number;
  readonly workspace?: string;
  /** Rate at a time in milliseconds. */
  perSecond(at: number): number;
}

/** What became of one request. */
export interface Played {
  readonly kind: Kind;
  readonly arrivedAt: number;
  admittedAt?: number;
  refused?: Refusal;
  refusedAt?: number;
}

export type Queue = Pick<AdmissionQueue, 'acquire' | 'recordRelease' | 'dispatchQueued'>;

interface Instance {
  readonly queue: Queue;
  readonly own: { running: number };
}

export interface Load {
  readonly limit: number;
  readonly holdMs: number;
  readonly forMs: number;
  readonly gateways?: number;
  readonly kinds: readonly Kind[];
  createQueue(source: RoomSource): Queue;
}

/**
 * Plays arrivals against one room that several gateways share, each with counts of the others that are 60 ms old.
 *
 * @param load - Room, arrivals and the queue to test
 * @returns All requests, and the requests that ran over all gateways by tick
 */
export async function playLoad(load: Load): Promise<{ requests: Played[]; running: number[] }> {
  const gateways = load.gateways ?? 1;
  const random = createRandom(7);
  const history: number[][] = [];
  const requests: Played[] = [];
  const ends = new Map<number, Instance[]>();
  const instances = Array.from({ length: gateways }, (_, index) => {
    const own = { running: 0 };
    const source = createSource(load.limit, {
      change: (amount) => {
        own.running += amount;
      },
      count: () => {
        const late = history.at(-COUNT_DELAY_TICKS) ?? [];
        return sum(late) - (late[index] ?? 0) + own.running;
      },
    });
    return { own, queue: load.createQueue(source) };
  });
  const pickInstance = (): Instance => {
    const picked = instances[Math.floor(random() * gateways)];
    if (picked === undefined) throw new Error('no gateway');
    return picked;
  };
  let now = 0;
  const arrive = async (kind: Kind): Promise<void> => {
    const played: Played = { kind, arrivedAt: now };
    requests.push(played);
    const instance = pickInstance();
    const { signal } = new AbortController();
    const result = await instance.queue.acquire(createRequest(kind, now), now, signal);
    if (result.isErr()) {
      Object.assign(played, { refused: result.error, refusedAt: now });
      return;
    }
    played.admittedAt = now;
    const endTick = Math.ceil((now + load.holdMs * (0.5 + random())) / TICK_MS);
    ends.set(endTick, [...(ends.get(endTick) ?? []), instance]);
  };
  for (; now < load.forMs; now += TICK_MS) {
    for (const { own, queue } of ends.get(now / TICK_MS) ?? []) {
      own.running -= 1;
      queue.recordRelease(now);
      queue.dispatchQueued(now);
    }
    for (const kind of load.kinds) {
      const expected = (kind.perSecond(now) * TICK_MS) / 1_000;
      const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      for (let index = 0; index < count; index += 1) void arrive(kind);
    }
    if (now % DISPATCH_INTERVAL_MS === 0)
      for (const { queue } of instances) queue.dispatchQueued(now);
    await new Promise(setImmediate);
    history.push(instances.map(({ own }) => own.running));
  }
  return { requests, running: history.map(sum) };
}

export function createRequest({ priority, workspace }: Kind, now: number): ReservationRequest {
  return {
    service,
    excluded: new Set(),
    priority,
    arrivedAt: now,
    expiresAt: now + 1_500,
    maxWaitMs: 225,
    workspace: workspace === undefined ? undefined : toId<WorkspaceId>(workspace),
    latencyTargetMs: 500,
    eventGapTargetMs: 150,
    deadlineAt: now + 8_000,
  };
}

export function createSource(
  limit: number,
  running: { count(): number; change(amount: number): void },
): RoomSource {
  const upstream = {
    id: toId<UpstreamId>('u'),
    service,
    address: '',
    availabilityZone: toId<never>('z'),
    slots: limit,
    isDraining: false,
  };
  return {
    hasUpstream: () => true,
    computePause: () => 0,
    estimatePermitWait: () => undefined,
    findOutageStart: () => undefined,
    measureRoom: () => ({ limit, running: running.count() }),
    tryReserve: () => {
      if (running.count() >= limit) return undefined;
      running.change(1);
      return { upstream, passedOver: [], release: () => undefined };
    },
  };
}

function sum(counts: readonly number[]): number {
  return counts.reduce((total, count) => total + count, 0);
}

/** Mulberry32. */
function createRandom(seed: number): () => number {
  let state = seed;
  return () => {
    state = (state + 0x6d2b79f5) | 0;
    let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
    mixed = (mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed)) ^ mixed;
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
  };
}
