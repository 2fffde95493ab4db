import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ClientAnswer } from '../support/client.js';
import { sendRequest } from '../support/client.js';
import type { GatewayProcess } from '../support/gateways.js';
import { createFolder, prepareGateways } from '../support/gateways.js';
import type { CaseContext } from '../support/run.js';
import { runCase } from '../support/run.js';
import { createConfiguration, StoreStandIn } from '../support/store.js';
import type { WorkerRequest } from '../support/worker.js';
import { WorkerStandIn } from '../support/worker.js';

const GATEWAYS = 4;
const WORKERS = 3;
const SLOTS = 6;
const HEARTBEAT_MS = 1_200;
const WORK_MS = 85;
/** Requests of the kind `ledger-lookup` in a second, as on the sheet. */
const LOOKUPS_PER_S = 2.1;
/** A client abandons an idempotent request that the node has not read after this long. */
const UNREAD_LIMIT_MS = 1_000;
/** The platform asks each node once a second whether it is ready; two misses take it out of rotation. */
const READY_INTERVAL_MS = 1_000;
const MAX_MISSES = 2;
const ROUNDS = 17;
const ROUND_MS = 6_000;
/** In this time the gateway that reads the store reads it at least twice. */
const OBSERVE_READS_MS = 1_400;
/** Bound `drainMs` of the site. */
const DRAIN_MS = 2_000;
/** A worker that leaves goes on serving for `drainMs` and a little longer. */
const LINGER_MS = 2_500;
const FREEZE_MS = 2_200;
/** The worker leaves this long after the freeze has begun. */
const LEAVE_AFTER_MS = 200;
/** Bound `contactMs` of the site; a machine that was frozen counts only after it. */
const CONTACT_MS = 3_000;

/** One start of a worker; it leaves without having reported that it drains. */
class LeavingWorker {
  readonly stand: WorkerStandIn;
  isLeaving = false;
  /** When the store acknowledged that the entry is gone. */
  leftAt = Infinity;
  private heartbeats = 1;
  private timer: NodeJS.Timeout | undefined;
  private address = '';

  constructor(
    readonly id: string,
    private readonly store: StoreStandIn,
    { readClock, record }: CaseContext,
  ) {
    this.stand = new WorkerStandIn(id, readClock, (request, socket) => {
      record(`run ${request.requestId} at ${id}`);
      void this.serve(request, socket);
    });
  }

  async start(): Promise<void> {
    this.address = await this.stand.listen('127.0.2.1');
    const { id, address } = this;
    const fields = { service: 'payout-ledger', zone: 'ikeja', slots: SLOTS, born: Date.now() };
    const beat = (): void => {
      this.store.putWorker({ id, address, ...fields }, 'ready', this.heartbeats);
      this.heartbeats += 1;
    };
    beat();
    this.timer = setInterval(beat, HEARTBEAT_MS);
  }

  /** Removes the entry; from then on, each answer states that the worker leaves. */
  leave(now: number): void {
    clearInterval(this.timer);
    this.store.remove(`servers/${this.id}`);
    this.isLeaving = true;
    this.leftAt = now;
  }

  close(): void {
    clearInterval(this.timer);
    this.stand.close();
  }

  private async serve({ requestId }: WorkerRequest, socket: Socket): Promise<void> {
    await sleep(WORK_MS);
    const body = `balance for ${requestId}`;
    const head = [
      'HTTP/1.1 200 OK',
      `Request-Id: ${requestId}`,
      `Server-Seal: 3e1b.${this.id}.${requestId}`,
      ...(this.isLeaving ? ['Server-Leaving: 1'] : []),
      `Content-Length: ${body.length}`,
      '\r\n',
    ];
    socket.write(`${head.join('\r\n')}${body}`);
  }
}

/** The nodes to which the platform forwards new connections. */
class Rotation {
  private readonly misses = new Map<string, number>();
  private readonly timer: NodeJS.Timeout;

  constructor(private readonly gateways: readonly GatewayProcess[]) {
    this.timer = setInterval(() => {
      for (const gateway of gateways) void this.check(gateway);
    }, READY_INTERVAL_MS);
  }

  choose(): GatewayProcess {
    const ready = this.gateways.filter(({ node }) => (this.misses.get(node) ?? 0) < MAX_MISSES);
    const chosen = ready[Math.floor(Math.random() * ready.length)] ?? this.gateways[0];
    if (chosen === undefined) throw new Error('no gateway');
    return chosen;
  }

  stop(): void {
    clearInterval(this.timer);
  }

  private async check(gateway: GatewayProcess): Promise<void> {
    const misses = this.misses.get(gateway.node) ?? 0;
    this.misses.set(gateway.node, (await gateway.isReady()) ? 0 : misses + 1);
  }
}

/** Time in which a gateway was frozen. */
interface Freeze {
  readonly node: string;
  readonly from: number;
  until: number;
}

async function play(context: CaseContext): Promise<string[]> {
  const { readClock, record, hasTrouble, onEnd } = context;
  const store = new StoreStandIn();
  onEnd(() => {
    store.close();
  });
  const { folder, remove } = createFolder();
  onEnd(remove);
  store.put('op/config', createConfiguration(1));
  const all: LeavingWorker[] = [];
  const startWorker = async (): Promise<LeavingWorker> => {
    const worker = new LeavingWorker(`i-02d9e6${all.length + 10}`, store, context);
    all.push(worker);
    await worker.start();
    return worker;
  };
  onEnd(() => {
    for (const worker of all) worker.close();
  });
  const workers: LeavingWorker[] = [];
  for (let index = 0; index < WORKERS; index += 1) workers.push(await startWorker());
  const gateways = await prepareGateways(GATEWAYS, (node) => store.listen(node), folder);
  onEnd(() => Promise.all(gateways.map((gateway) => gateway.kill())));
  for (const gateway of gateways) gateway.start();
  for (const gateway of gateways) await gateway.waitUntilReady();
  record(`${GATEWAYS} gateways ready`);
  await sleep(CONTACT_MS);

  const freezes: Freeze[] = [];
  const answers: ClientAnswer[] = [];
  const senders = new Map<string, string>();
  const traffic = { isRunning: true };
  const pending: Promise<unknown>[] = [];
  const rotation = new Rotation(gateways);
  onEnd(() => {
    rotation.stop();
  });
  const callAll = async (): Promise<void> => {
    for (let number = 0; traffic.isRunning; number += 1) {
      // Exponential gaps, as of many independent clients.
      await sleep((-Math.log(1 - Math.random()) * 1_000) / LOOKUPS_PER_S);
      const gateway = rotation.choose();
      const requestId = `77aa41d0${number.toString(16).padStart(8, '0')}`;
      senders.set(requestId, gateway.node);
      const target = { ...gateway.address, node: gateway.node };
      const isFrozen = freezes.some(
        ({ node, until }) => node === gateway.node && until === Infinity,
      );
      const deadlineMs = isFrozen ? UNREAD_LIMIT_MS : 4_000;
      const call = { method: 'GET', path: '/lookup/2f', requestId, deadlineMs } as const;
      record(`sent ${requestId} to ${gateway.node}`);
      pending.push(
        sendRequest(target, call, readClock).then((answer) => {
          record(`answered ${requestId}: ${answer.status}, ${answer.ending}`);
          answers.push(answer);
        }),
      );
    }
  };
  const calls = callAll();
  for (let round = 0; round < ROUNDS; round += 1) {
    const startedAt = readClock();
    workers.push(await startWorker());
    const reader = await findReader(store, gateways);
    const freeze: Freeze = { node: reader.node, from: readClock(), until: Infinity };
    if (hasTrouble) {
      record(`SIGSTOP ${reader.node}, which reads the store`);
      reader.send('SIGSTOP');
      freezes.push(freeze);
    }
    await sleep(LEAVE_AFTER_MS);
    const leaver = workers.shift();
    leaver?.leave(readClock());
    record(`${leaver?.id ?? ''} leaves, its entry is removed from the store`);
    await sleep(FREEZE_MS - LEAVE_AFTER_MS);
    if (hasTrouble) {
      reader.send('SIGCONT');
      freeze.until = readClock();
      record(`SIGCONT ${reader.node}`);
    }
    await sleep(LEAVE_AFTER_MS + DRAIN_MS + LINGER_MS - FREEZE_MS);
    leaver?.close();
    record(`${leaver?.id ?? ''} exits`);
    await sleep(Math.max(0, startedAt + ROUND_MS - readClock()));
  }
  traffic.isRunning = false;
  await calls;
  await Promise.all(pending);
  const counts = new Map<number, number>();
  for (const { status } of answers) counts.set(status, (counts.get(status) ?? 0) + 1);
  const statuses = [...counts].map(([status, count]) => `${count} with ${status}`).join(', ');
  record(`sent: ${senders.size} requests; answered: ${statuses}`);
  return judge(all, answers, senders, freezes);
}

/** Finds the gateway that reads the store for the others: the one that reads most. */
async function findReader(
  store: StoreStandIn,
  gateways: readonly GatewayProcess[],
): Promise<GatewayProcess> {
  store.reads.clear();
  await sleep(OBSERVE_READS_MS);
  const count = ({ node }: GatewayProcess): number => store.reads.get(node) ?? 0;
  const [first] = [...gateways].sort((left, right) => count(right) - count(left));
  if (first === undefined) throw new Error('no gateway');
  return first;
}

/**
 * DRAIN: a request reaches a worker later than `drainMs` after the store acknowledged that it is gone, taken from the
 * client and sent on by a gateway that was not frozen in the last `contactMs`.
 */
function judge(
  workers: readonly LeavingWorker[],
  answers: readonly ClientAnswer[],
  senders: ReadonlyMap<string, string>,
  freezes: readonly Freeze[],
): string[] {
  const breaches: string[] = [];
  for (const { id, leftAt, stand } of workers) {
    for (const { requestId, at } of stand.requests) {
      if (at <= leftAt + DRAIN_MS) continue;
      const node = senders.get(requestId) ?? '';
      const sentAt = answers.find((answer) => answer.requestId === requestId)?.sentAt ?? at;
      const isExcused = freezes.some(
        (freeze) =>
          freeze.node === node && at >= freeze.from && sentAt <= freeze.until + CONTACT_MS,
      );
      if (isExcused) continue;
      breaches.push(
        `${requestId}, sent to ${node} at ${sentAt / 1_000}, reached ${id} at ${at / 1_000}, ` +
          `${((at - leftAt) / 1_000).toFixed(2)} s after it had left at ${leftAt / 1_000}`,
      );
    }
  }
  return breaches;
}

await runCase('3', play);
