import seedrandom from 'seedrandom';
import { defaults } from '../../src/defaults.js';
import type { Message } from '../../src/protocol/messages.js';
import type { LimitedArrival } from './rateLimitRule.js';
import { findBusiestWindow } from './rateLimitRule.js';
import { VirtualTime } from './virtualTime.js';
import type { LimiterVariant, ScheduleLimiter } from './rateLimitVariants.js';
import { limiterVariants } from './rateLimitVariants.js';

export interface ScheduleOptions {
  readonly seed: string;
  readonly variant: LimiterVariant;
  /** Number of gateways, drawn by default. */
  readonly gateways?: number;
  /** Limit of the first period, drawn by default. */
  readonly perSecond?: number;
  /** Faults of links and gateways, none by default. */
  readonly faults?: number;
}

/** What happened in one period with a constant limit. */
export interface PeriodResult {
  readonly perSecond: number;
  readonly count: number;
  readonly allowed: number;
  /** Requests in the last `MEASURED_MS` of the period. */
  readonly received: number;
  /** Requests per second that callers want to send. */
  readonly demandPerSecond: number;
}

export interface ScheduleResult {
  readonly gateways: number;
  readonly periods: readonly PeriodResult[];
  /** Time from the end of the last limit until all gateways send without permits; infinite if some never did. */
  readonly releasedMs: number;
}

interface Node {
  readonly id: string;
  limiter: ScheduleLimiter;
  life: number;
  isUp: boolean;
  frozenUntil: number;
  /** Requests per second that would use the upstream. */
  readonly demand: number;
  known: Set<string>;
  toldAt: number;
  excusedUntil: number;
  lastRefusedAt: number;
}

/** One direction of a link. */
interface Direction {
  /** Messages sent before this time are lost. */
  cutUntil: number;
  slowUntil: number;
  slowMs: number;
  /** Delivery time of the last message, because a connection keeps the order. */
  lastArrivalAt: number;
  lastHeardAt: number;
  isOpen: boolean;
  /** Number of times that the link was opened. */
  openings: number;
}

const LIMITS_PER_SECOND = [0.2, 0.5, 1, 2, 5, 15, 50];
const MAX_GATEWAYS = 16;
const PERIOD_MS = 30_000;
const STARTED_MS = 2_000;
const ADVANCE_MS = 40;
const EXCUSE_MS = 3_000;
/** Time over which the use of a limit is measured. */
export const MEASURED_MS = 20_000;
const RELEASE_MS = 12_000;

/** A simulated set of gateways before one upstream; every random choice follows from the seed. */
class RateLimitSchedule {
  private readonly time = new VirtualTime();
  private readonly random: () => number;
  private readonly nodes: Node[] = [];
  private readonly directions = new Map<string, Direction>();
  private readonly arrivals: LimitedArrival[] = [];
  private readonly gateways: number;
  private limit: number | undefined;

  constructor(private readonly options: ScheduleOptions) {
    this.random = seedrandom(options.seed);
    this.gateways = options.gateways ?? 1 + Math.floor(this.random() * MAX_GATEWAYS);
  }

  run(): ScheduleResult {
    const isBusy = this.options.faults === undefined;
    for (let index = 0; index < this.gateways; index += 1) {
      const demand = isBusy || this.random() < 0.7 ? 2 + this.random() * 20 : 0;
      this.nodes.push(this.createNode(`gateway-${index}`, demand));
    }
    for (const node of this.nodes) this.startNode(node);
    for (const a of this.nodes) for (const b of this.nodes) if (a.id < b.id) this.connect(a, b);
    const first = this.options.perSecond ?? this.draw(LIMITS_PER_SECOND);
    const limits = [first, this.draw(LIMITS_PER_SECOND), undefined, this.draw(LIMITS_PER_SECOND)];
    const endAt = STARTED_MS + PERIOD_MS * limits.length;
    for (let fault = 0; fault < (this.options.faults ?? 0); fault += 1) {
      this.time.schedule(this.random() * endAt, () => {
        this.draw(faultHandlers)(this);
      });
    }
    const periods: PeriodResult[] = [];
    this.time.runUntil(STARTED_MS);
    for (const perSecond of limits) {
      this.limit = perSecond;
      const statedAt = this.time.now;
      for (const node of this.nodes) node.toldAt = Infinity;
      const before = this.arrivals.length;
      this.time.runUntil(statedAt + PERIOD_MS);
      if (perSecond === undefined) continue;
      periods.push(this.measure(perSecond, statedAt, this.arrivals.slice(before)));
    }
    this.limit = undefined;
    const endedAt = this.time.now;
    for (const node of this.nodes) node.lastRefusedAt = -Infinity;
    this.time.runUntil(endedAt + RELEASE_MS);
    const lastRefusedAt = Math.max(...this.nodes.map((node) => node.lastRefusedAt));
    const isReleased = lastRefusedAt < endedAt + RELEASE_MS - 1_000;
    const releasedMs = isReleased ? Math.max(0, lastRefusedAt - endedAt) : Infinity;
    return { gateways: this.gateways, periods, releasedMs };
  }

  /** Loses all messages of one or both directions between two gateways, or of one gateway to all others. */
  cutLinks(): void {
    const a = this.draw(this.nodes);
    const until = this.time.now + 500 + this.random() * 8_000;
    const isOneWay = this.random() < 0.4;
    const isAll = this.random() < 0.4;
    const other = this.draw(this.nodes);
    for (const b of isAll ? this.nodes : [other]) {
      if (a === b) continue;
      this.getDirection(a, b).cutUntil = until;
      if (!isOneWay) this.getDirection(b, a).cutUntil = until;
    }
  }

  slowLinks(): void {
    const a = this.draw(this.nodes);
    const slowMs = 100 + this.random() * 1_400;
    const until = this.time.now + 1_000 + this.random() * 6_000;
    for (const b of this.nodes) {
      if (a === b || this.random() < 0.3) continue;
      Object.assign(this.getDirection(a, b), { slowMs, slowUntil: until });
      if (this.random() < 0.5) Object.assign(this.getDirection(b, a), { slowMs, slowUntil: until });
    }
  }

  freezeNode(): void {
    const node = this.draw(this.nodes);
    if (!node.isUp) return;
    node.frozenUntil = this.time.now + 300 + this.random() * 6_000;
    node.excusedUntil = node.frozenUntil + EXCUSE_MS;
  }

  restartNode(): void {
    const node = this.draw(this.nodes);
    if (!node.isUp) return;
    node.isUp = false;
    node.life += 1;
    node.toldAt = Infinity;
    for (const peer of this.nodes) if (peer !== node) this.closeLink(node, peer);
    this.time.schedule(this.time.now + 300 + this.random() * 5_000, () => {
      node.known = this.listSeeds(node.id);
      node.limiter = this.createLimiter(node);
      node.isUp = true;
      node.excusedUntil = this.time.now + EXCUSE_MS;
      this.startNode(node);
      for (const peer of this.nodes) if (peer !== node) this.connect(node, peer);
    });
  }

  private createNode(id: string, demand: number): Node {
    const node: Node = {
      id,
      limiter: undefined as unknown as ScheduleLimiter,
      life: 0,
      isUp: true,
      frozenUntil: 0,
      demand,
      known: this.listSeeds(id),
      toldAt: Infinity,
      excusedUntil: 0,
      lastRefusedAt: -Infinity,
    };
    node.limiter = this.createLimiter(node);
    return node;
  }

  private createLimiter(node: Node): ScheduleLimiter {
    return limiterVariants[this.options.variant]({
      self: node.id,
      countGateways: () => node.known.size + 1,
      send: (peer, message) => {
        const target = this.nodes.find(({ id }) => id === peer);
        if (target !== undefined) this.send(node, target, message);
      },
    });
  }

  private listSeeds(self: string): Set<string> {
    const seeds = ['gateway-0', 'gateway-1', 'gateway-2'];
    return new Set(seeds.slice(0, this.gateways).filter((id) => id !== self));
  }

  private startNode(node: Node): void {
    const { life } = node;
    const isCurrent = (): boolean => node.life === life;
    const advance = (): void => {
      if (!isCurrent()) return;
      node.limiter.advance(this.time.now);
      this.scheduleFor(node, this.time.now + ADVANCE_MS, advance);
    };
    const request = (): void => {
      if (!isCurrent()) return;
      if (node.limiter.tryTake(this.time.now)) this.sendRequest(node);
      else node.lastRefusedAt = this.time.now;
      this.scheduleFor(node, this.time.now + this.drawInterval(node.demand), request);
    };
    this.scheduleFor(node, this.time.now + this.random() * ADVANCE_MS, advance);
    if (node.demand > 0)
      this.scheduleFor(node, this.time.now + this.drawInterval(node.demand), request);
  }

  private sendRequest(node: Node): void {
    const { life } = node;
    const sentAt = this.time.now;
    const transitMs = 0.5 + this.random() * 3;
    // Some responses are slow to start; their heads state what held before.
    const workMs = this.random() < 0.05 ? this.random() * 2_000 : 5 + this.random() * 300;
    this.time.schedule(sentAt + transitMs, () => {
      if (this.time.now >= node.excusedUntil)
        this.arrivals.push({ at: this.time.now, gateway: node.id });
      const headDelayMs = workMs * this.random();
      this.time.schedule(this.time.now + headDelayMs, () => {
        const stated = this.limit;
        this.time.schedule(this.time.now + workMs - headDelayMs + transitMs, () => {
          this.whenAwake(node, () => {
            if (node.life !== life) return;
            node.limiter.observe(stated, sentAt, this.time.now);
            if (stated !== undefined && stated === this.limit) {
              node.toldAt = Math.min(node.toldAt, this.time.now);
            }
          });
        });
      });
    });
  }

  private connect(a: Node, b: Node): void {
    const lives = [a.life, b.life];
    const isCurrent = (): boolean => a.isUp && b.isUp && lives[0] === a.life && lives[1] === b.life;
    const attempt = (): void => {
      if (!isCurrent()) return;
      const pair = [this.getDirection(a, b), this.getDirection(b, a)];
      const isBlocked = pair.some(({ cutUntil }) => cutUntil > this.time.now);
      if (isBlocked || a.frozenUntil > this.time.now || b.frozenUntil > this.time.now) {
        this.time.schedule(this.time.now + 100 + this.random() * 1_000, attempt);
        return;
      }
      for (const direction of pair) {
        Object.assign(direction, {
          isOpen: true,
          lastHeardAt: this.time.now,
          lastArrivalAt: this.time.now,
        });
      }
      this.openSide(a, b);
      this.openSide(b, a);
    };
    this.time.schedule(this.time.now + 20 + this.random() * 200, attempt);
  }

  /** Adds the peer at one side and sends heartbeats to it. */
  private openSide(node: Node, peer: Node): void {
    const { life } = node;
    node.known.add(peer.id);
    node.limiter.addPeer(peer.id, this.time.now);
    const outgoing = this.getDirection(node, peer);
    const incoming = this.getDirection(peer, node);
    outgoing.openings += 1;
    const { openings } = outgoing;
    const beat = (): void => {
      const isCurrent = node.life === life && outgoing.openings === openings;
      if (!isCurrent || !outgoing.isOpen) return;
      const isSilent = this.time.now - incoming.lastHeardAt > defaults.heartbeatTimeoutMs;
      if (isSilent) {
        this.closeSide(node, peer, 'unresponsive');
        return;
      }
      this.send(node, peer, { type: 'ping', sentAt: this.time.now });
      this.scheduleFor(node, this.time.now + defaults.heartbeatCheckMs, beat);
    };
    beat();
  }

  /** Closes one side; the other one learns of it if the path works, else by its own timeout. */
  private closeSide(node: Node, peer: Node, reason: 'unresponsive' | 'closed'): void {
    const outgoing = this.getDirection(node, peer);
    if (!outgoing.isOpen) return;
    outgoing.isOpen = false;
    node.limiter.removePeer(peer.id, reason, this.time.now);
    const { isOpen } = this.getDirection(peer, node);
    if (!isOpen) this.connect(node, peer);
    else if (outgoing.cutUntil <= this.time.now) {
      this.scheduleFor(peer, this.time.now + 5, () => {
        this.closeSide(peer, node, 'closed');
      });
    }
  }

  private closeLink(node: Node, peer: Node): void {
    this.getDirection(node, peer).isOpen = false;
    const { life } = peer;
    this.scheduleFor(peer, this.time.now + 5, () => {
      const direction = this.getDirection(peer, node);
      if (peer.life !== life || !direction.isOpen) return;
      direction.isOpen = false;
      peer.limiter.removePeer(node.id, 'closed', this.time.now);
    });
  }

  private send(node: Node, peer: Node, message: Message): void {
    const direction = this.getDirection(node, peer);
    if (!direction.isOpen) return;
    const lives = [node.life, peer.life];
    // Lost segments are sent again, so a short cut delays messages and a long one closes the link.
    const resumeAt = Math.max(this.time.now, direction.cutUntil);
    const slowMs = direction.slowUntil > this.time.now ? direction.slowMs : 0;
    const arrivesAt = Math.max(resumeAt + 1 + this.random() * 4 + slowMs, direction.lastArrivalAt);
    direction.lastArrivalAt = arrivesAt;
    this.scheduleFor(peer, arrivesAt, () => {
      const isCurrent = lives[0] === node.life && lives[1] === peer.life;
      if (!isCurrent || !direction.isOpen || !this.getDirection(peer, node).isOpen) return;
      // As `PeerLink` does after a pause, the receiver closes a link that has timed out.
      if (this.time.now - direction.lastHeardAt > defaults.heartbeatTimeoutMs) {
        this.closeSide(peer, node, 'unresponsive');
        return;
      }
      direction.lastHeardAt = this.time.now;
      peer.limiter.receive(node.id, message, this.time.now);
    });
  }

  private measure(
    perSecond: number,
    statedAt: number,
    arrivals: readonly LimitedArrival[],
  ): PeriodResult {
    const endedAt = this.time.now;
    const toldAt = new Map(this.nodes.map((node) => [node.id, node.toldAt]));
    const { count, allowed } = findBusiestWindow({
      perSecond,
      statedAt,
      endedAt,
      toldAt,
      arrivals,
    });
    const measured = arrivals.filter(({ at }) => at >= endedAt - MEASURED_MS);
    const demandPerSecond = this.nodes.reduce((sum, node) => sum + node.demand, 0);
    return { perSecond, count, allowed, received: measured.length, demandPerSecond };
  }

  private getDirection(from: Node, to: Node): Direction {
    const key = `${from.id} ${to.id}`;
    let direction = this.directions.get(key);
    if (direction === undefined) {
      direction = {
        cutUntil: 0,
        slowUntil: 0,
        slowMs: 0,
        lastArrivalAt: 0,
        lastHeardAt: 0,
        isOpen: false,
        openings: 0,
      };
      this.directions.set(key, direction);
    }
    return direction;
  }

  private draw<Item>(items: readonly Item[]): Item {
    const item = items[Math.floor(this.random() * items.length)];
    if (item === undefined) throw new Error('nothing to draw from');
    return item;
  }

  private drawInterval(perSecond: number): number {
    return (-Math.log(1 - this.random()) * 1_000) / perSecond;
  }

  private scheduleFor(node: Node, at: number, run: () => void): void {
    this.time.schedule(at, () => {
      this.whenAwake(node, run);
    });
  }

  /** Runs now, or when the gateway is no longer frozen. */
  private whenAwake(node: Node, run: () => void): void {
    if (node.frozenUntil <= this.time.now) run();
    else this.time.schedule(node.frozenUntil + this.random(), run);
  }
}

const faultHandlers: readonly ((schedule: RateLimitSchedule) => void)[] = [
  (schedule) => {
    schedule.cutLinks();
  },
  (schedule) => {
    schedule.slowLinks();
  },
  (schedule) => {
    schedule.freezeNode();
  },
  (schedule) => {
    schedule.restartNode();
  },
];

/**
 * Simulates gateways before an upstream that states, changes and stops stating a rate limit.
 *
 * @param options - Seed, limiter and faults
 * @returns The busiest window and the use of each period
 */
export function runRateLimitSchedule(options: ScheduleOptions): ScheduleResult {
  return new RateLimitSchedule(options).run();
}
