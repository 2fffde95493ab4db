import seedrandom from 'seedrandom';
import type { Fingerprint, PromptPartId, ServiceId, UpstreamId } from '../../src/ids.js';
import { toId } from '../../src/ids.js';
import type { Logger } from '../../src/process/logging.js';
import { Metrics } from '../../src/process/metrics.js';
import type { Message } from '../../src/protocol/messages.js';
import { CrashContainment } from '../../src/request/containment/crashContainment.js';
import type { RequestKeys } from '../../src/request/containment/types.js';
import { VirtualTime } from './virtualTime.js';

export interface CrashScheduleOptions {
  readonly seed: string;
  readonly gateways: number;
  /** Parts that crash upstreams. */
  readonly crashingParts?: number;
  /** Whether the crashing part is the first of its prompts. */
  readonly isFirst?: boolean;
  /** Crashes of upstreams for other reasons, and cuts, freezes and restarts of gateways. */
  readonly faults?: number;
  /** Whether all gateways restart at once, a while after the first crashes. */
  readonly restartsAll?: boolean;
  /** Whether gateways look at whole requests only. */
  readonly ignoresParts?: boolean;
  /** First parts that the sound requests share. */
  readonly topics?: number;
}

export interface CrashScheduleResult {
  /** Upstreams that each crashing part has ended. */
  readonly crashes: readonly number[];
  /** Sends of each crashing part by gateways in touch, later than the contact time after its fifth crash. */
  readonly lateSends: readonly number[];
  /** Largest share of the sound requests with one first part that was refused, of parts with enough requests. */
  readonly refusedShare: number;
}

interface Gateway {
  readonly id: string;
  containment: CrashContainment;
  cutUntil: number;
  frozenUntil: number;
  inTouchFrom: number;
}

interface Worker {
  id: UpstreamId;
  readonly group: number;
  readonly attempts: Set<Attempt>;
}

interface Request {
  readonly keys: RequestKeys;
  readonly crashingPart: number | undefined;
  readonly topic: number;
  isResent: boolean;
  attempts: number;
}

interface Attempt {
  readonly request: Request;
  readonly gateway: Gateway;
  readonly containment: CrashContainment;
  readonly worker: Worker;
  beganAt: number;
  unregister: () => void;
  readonly recordEnd: () => void;
}

const SERVICE = toId<ServiceId>('assistant');
const CONTACT_MS = 3_000;
const GROUPS = 2;
const GROUP_SIZE = 8;
const LATENCY_MS = 4;
const STALL_MS = 1_500;
const RECOVERY_MS = 4_000;
const SOUND_PER_SECOND = 40;
const CRASHING_PER_SECOND = 2;
const CRASHING_FROM_MS = 8_000;
const END_MS = 120_000;
const MAX_ATTEMPTS = 2;
const FIRST_EVENTS_MS = 100;
const EIGHT_EVENTS_MS = 300;
const RESPONSE_MS = 900;
const MIN_MEASURED = 20;
const silent = (): void => undefined;
const logger: Logger = { debug: silent, info: silent, warn: silent, error: silent };

/**
 * Plays requests, crashes and faults over virtual time and counts what the rules bound.
 *
 * @param options - Seed, sizes and faults
 * @returns Counts
 */
export function runCrashSchedule(options: CrashScheduleOptions): CrashScheduleResult {
  return new CrashSchedule(options).run();
}

class CrashSchedule {
  private readonly time = new VirtualTime();
  private readonly random: () => number;
  private readonly gateways: Gateway[] = [];
  private readonly workers: Worker[] = [];
  private readonly groupOpenAt = Array.from({ length: GROUPS }, () => 0);
  private readonly crashTimes: number[][];
  private readonly sends: number[][];
  private readonly sound = new Map<number, { sent: number; refused: number }>();
  private nextId = 0;

  constructor(private readonly options: CrashScheduleOptions) {
    this.random = seedrandom(`${options.seed}/${options.gateways}`);
    const parts = options.crashingParts ?? 1;
    this.crashTimes = Array.from({ length: parts }, () => []);
    this.sends = Array.from({ length: parts }, () => []);
    for (let index = 0; index < GROUPS * GROUP_SIZE; index += 1) {
      this.workers.push({
        id: this.createUpstreamId(),
        group: index % GROUPS,
        attempts: new Set(),
      });
    }
    for (let index = 0; index < options.gateways; index += 1) {
      const id = `gateway-${index}`;
      const gateway = { id, cutUntil: 0, frozenUntil: 0, inTouchFrom: 0 };
      const containment = this.createContainment(id, () => gateway as Gateway);
      this.gateways.push(Object.assign(gateway, { containment }));
    }
  }

  run(): CrashScheduleResult {
    this.scheduleCalls(0, SOUND_PER_SECOND, () => this.createSound());
    for (const part of this.crashTimes.keys()) {
      const from = CRASHING_FROM_MS + part * 3_000;
      this.scheduleCalls(from, CRASHING_PER_SECOND, () => this.createCrashing(part));
    }
    for (let fault = 0; fault < (this.options.faults ?? 0); fault += 1) this.scheduleFault();
    if (this.options.restartsAll === true) {
      this.time.schedule(CRASHING_FROM_MS + 12_000, () => {
        for (const gateway of this.gateways) this.restart(gateway, []);
      });
    }
    this.time.runUntil(END_MS);
    return {
      crashes: this.crashTimes.map((times) => times.length),
      lateSends: this.sends.map((times, part) => {
        const boundAt = (this.crashTimes[part]?.[4] ?? Infinity) + CONTACT_MS;
        return times.filter((at) => at > boundAt).length;
      }),
      refusedShare: this.computeRefusedShare(),
    };
  }

  private computeRefusedShare(): number {
    let largest = 0;
    for (const { sent, refused } of this.sound.values()) {
      if (sent >= MIN_MEASURED) largest = Math.max(largest, refused / sent);
    }
    return largest;
  }

  private createContainment(self: string, getGateway: () => Gateway): CrashContainment {
    return new CrashContainment({
      self,
      listLinked: () =>
        this.gateways.filter((other) => other !== getGateway()).map((other) => other.id),
      broadcast: (message) => {
        for (const other of this.gateways) this.deliver(getGateway(), other, message);
      },
      logger,
      metrics: new Metrics(),
    });
  }

  private deliver(from: Gateway, to: Gateway, message: Message): void {
    if (from === to || from.cutUntil > this.time.now || to.cutUntil > this.time.now) return;
    const { containment } = to;
    const receive = (): void => {
      if (to.frozenUntil > this.time.now) this.time.schedule(to.frozenUntil, receive);
      else if (to.containment !== containment) return;
      else if (message.type === 'crashReport') containment.receiveReport(message, this.time.now);
      else if (message.type === 'crashCleared') containment.receiveCleared(message, this.time.now);
    };
    this.time.schedule(this.time.now + LATENCY_MS, receive);
  }

  private scheduleCalls(from: number, perSecond: number, create: () => Request): void {
    const call = (): void => {
      this.receive(create());
      this.time.schedule(this.time.now - (Math.log(this.random()) * 1_000) / perSecond, call);
    };
    this.time.schedule(from, call);
  }

  private createSound(): Request {
    const topic = this.drawTopic();
    // A few conversations have a part of their own besides the topic.
    const session = this.random() < 0.3 ? [`s${Math.floor(this.random() * 400)}`] : [];
    return this.createRequest([`f${topic}`, ...session], undefined, topic);
  }

  private createCrashing(part: number): Request {
    const topic = this.drawTopic();
    const parts = [`f${topic}`, `x${part}`];
    return this.createRequest(this.options.isFirst === true ? parts.reverse() : parts, part, topic);
  }

  private createRequest(parts: string[], crashingPart: number | undefined, topic: number): Request {
    this.nextId += 1;
    const keys = {
      request: toId<Fingerprint>(`r${this.nextId}`),
      parts:
        this.options.ignoresParts === true ? [] : parts.map((part) => toId<PromptPartId>(part)),
    };
    return { keys, crashingPart, topic, isResent: false, attempts: 0 };
  }

  private drawTopic(): number {
    // Half of all requests share the first topic.
    const topics = this.options.topics ?? 6;
    return this.random() < 0.5 ? 0 : Math.floor(this.random() * topics);
  }

  private receive(request: Request): void {
    const awake = this.gateways.filter(({ frozenUntil }) => frozenUntil <= this.time.now);
    const gateway = awake[Math.floor(this.random() * awake.length)];
    if (gateway === undefined) return;
    const isRefused = this.send(gateway, request) === 'refused';
    const boundAt = Math.max(
      ...this.crashTimes.map((times) => times[4] ?? times.at(-1) ?? Infinity),
    );
    const isMeasured =
      this.time.now > boundAt + 2 * CONTACT_MS && gateway.inTouchFrom <= this.time.now;
    if (request.crashingPart !== undefined || !isMeasured) return;
    const count = this.sound.get(request.topic) ?? { sent: 0, refused: 0 };
    count.sent += 1;
    if (isRefused) count.refused += 1;
    this.sound.set(request.topic, count);
  }

  private send(gateway: Gateway, request: Request): 'sent' | 'refused' | 'full' {
    const { now } = this.time;
    const { containment } = gateway;
    if (containment.findBlockedKey(SERVICE, request.keys, now) !== undefined) return 'refused';
    if (containment.hasToRunAlone(SERVICE, request.keys, now)) return 'refused';
    const open = this.workers.filter(({ group }) => (this.groupOpenAt[group] ?? 0) <= now);
    const worker = open[Math.floor(this.random() * open.length)];
    if (worker === undefined) return 'full';
    request.attempts += 1;
    const recordEnd = containment.recordSend(SERVICE, request.keys, now);
    const isInTouch = gateway.inTouchFrom <= now;
    if (request.crashingPart !== undefined && isInTouch)
      this.sends[request.crashingPart]?.push(now);
    const attempt: Attempt = {
      request,
      gateway,
      containment,
      worker,
      beganAt: now + 80 + this.random() * 250,
      unregister: silent,
      recordEnd,
    };
    worker.attempts.add(attempt);
    attempt.unregister = containment.register({
      service: SERVICE,
      keys: request.keys,
      isUnanswered: () => this.time.now < attempt.beganAt + FIRST_EVENTS_MS,
      abort: () => {
        this.end(attempt);
      },
    });
    this.scheduleResponse(attempt);
    return 'sent';
  }

  private scheduleResponse(attempt: Attempt): void {
    const { worker, request, containment, beganAt } = attempt;
    const ifAlive = (at: number, run: () => void): void => {
      this.time.schedule(at, () => {
        const isStalled = (this.groupOpenAt[worker.group] ?? 0) > this.time.now;
        if (worker.attempts.has(attempt) && !isStalled) run();
      });
    };
    if (request.crashingPart !== undefined) {
      ifAlive(beganAt + 30 + this.random() * 60, () => {
        this.crashTimes[request.crashingPart ?? 0]?.push(this.time.now);
        this.crash(worker);
      });
      return;
    }
    ifAlive(beganAt + EIGHT_EVENTS_MS, () => {
      containment.recordSuccess(SERVICE, request.keys, this.time.now);
    });
    ifAlive(beganAt + RESPONSE_MS, () => {
      this.end(attempt);
    });
  }

  private crash(worker: Worker): void {
    const { now } = this.time;
    const crashed = worker.id;
    worker.id = this.createUpstreamId();
    this.groupOpenAt[worker.group] = now + RECOVERY_MS;
    for (const attempt of [...worker.attempts]) {
      this.end(attempt);
      const { containment, request, gateway } = attempt;
      const isCurrent = gateway.containment === containment;
      if (isCurrent && now < attempt.beganAt + FIRST_EVENTS_MS) {
        containment.recordCrash(SERVICE, crashed, request.keys, now);
      }
      if (containment.isRepeatSafe(SERVICE, request.keys, now)) this.repeat(attempt);
      else this.fail(request);
    }
    for (const other of this.workers) {
      if (other.group !== worker.group) continue;
      for (const attempt of other.attempts) {
        this.time.schedule(now + STALL_MS, () => {
          if (other.attempts.has(attempt)) this.repeat(attempt);
        });
      }
    }
  }

  private repeat(attempt: Attempt): void {
    this.end(attempt);
    const { request, gateway } = attempt;
    if (request.attempts < MAX_ATTEMPTS && gateway.frozenUntil <= this.time.now) {
      this.send(gateway, request);
    } else {
      this.fail(request);
    }
  }

  /** Half of the callers send a failed request again, mostly to another gateway. */
  private fail(request: Request): void {
    if (request.isResent || this.random() < 0.5) return;
    this.time.schedule(this.time.now + 200, () => {
      this.receive({ ...request, isResent: true, attempts: 0 });
    });
  }

  private end(attempt: Attempt): void {
    attempt.worker.attempts.delete(attempt);
    attempt.unregister();
    attempt.recordEnd();
  }

  private scheduleFault(): void {
    const at = 2_000 + this.random() * (END_MS - 10_000);
    const durationMs = 500 + this.random() * 6_000;
    const kind = Math.floor(this.random() * 4);
    const index = Math.floor(this.random() * this.gateways.length);
    this.time.schedule(at, () => {
      const gateway = this.gateways[index];
      if (gateway === undefined) return;
      const handlers = [
        () => {
          for (const worker of this.workers) if (this.random() < 0.2) this.crash(worker);
        },
        () => {
          gateway.cutUntil = this.time.now + durationMs;
          this.time.schedule(gateway.cutUntil, () => {
            this.connect(gateway);
          });
        },
        () => {
          gateway.frozenUntil = this.time.now + durationMs;
        },
        () => {
          this.restart(gateway, this.gateways);
        },
      ];
      if (kind > 0) {
        const endsAt = this.time.now + (kind === 3 ? 0 : durationMs);
        gateway.inTouchFrom = Math.max(gateway.inTouchFrom, endsAt + CONTACT_MS);
      }
      handlers[kind]?.();
    });
  }

  private restart(gateway: Gateway, peers: readonly Gateway[]): void {
    gateway.inTouchFrom = Math.max(gateway.inTouchFrom, this.time.now + CONTACT_MS);
    gateway.containment = this.createContainment(gateway.id, () => gateway);
    if (peers.length > 0) this.connect(gateway);
  }

  /** Both ends of a new link send all crashes that they know. */
  private connect(gateway: Gateway): void {
    for (const other of this.gateways) {
      if (other === gateway) continue;
      for (const [from, to] of [
        [other, gateway],
        [gateway, other],
      ] as const) {
        for (const report of from.containment.createReports(this.time.now)) {
          this.deliver(from, to, report);
        }
      }
    }
  }

  private createUpstreamId(): UpstreamId {
    this.nextId += 1;
    return toId<UpstreamId>(`i-${this.nextId}`);
  }
}
