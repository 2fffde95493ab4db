import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ClientAnswer } from '../support/client.js';
import { listEvents, sendRequest } from '../support/client.js';
import { createFolder, prepareGateways } from '../support/gateways.js';
import type { CaseContext } from '../support/run.js';
import { runCase } from '../support/run.js';
import { createConfiguration, StoreStandIn } from '../support/store.js';
import type { WorkerRequest } from '../support/worker.js';
import { formatEvent, WorkerStandIn } from '../support/worker.js';

const GATEWAYS = 4;
const WORKERS = 6;
const SLOTS = 12;
const EVENTS = 26;
const EVENT_GAP_MS = 40;
/** Answers of half of the workers that come without a length, as the site file says. */
const UNFRAMED_SHARE = 0.05;
const REQUEST_INTERVAL_MS = 30;
const LENGTH_MS = 30_000;
const KILLS = 3;
const FIRST_KILL_MS = 4_000;
const KILL_INTERVAL_MS = 7_000;
const DOWN_MS = 1_000;
/** Events that a stream has sent when its gateway is killed. */
const MIN_EVENTS_AT_KILL = 4;
const MAX_EVENTS_AT_KILL = 18;

interface RunningStream {
  readonly requestId: string;
  readonly isUnframed: boolean;
  sent: number;
  /** Set once all events and the end have been written. */
  isWhole: boolean;
}

function formatHead({ requestId, worker }: WorkerRequest, isUnframed: boolean): string {
  return [
    'HTTP/1.1 200 OK',
    'Content-Type: text/event-stream',
    `Request-Id: ${requestId}`,
    `Server-Seal: 3e1b.${worker}.${requestId}`,
    isUnframed ? 'Connection: close' : 'Transfer-Encoding: chunked',
    '\r\n',
  ].join('\r\n');
}

/** Streams all events after `Last-Event-Id`; the worker never breaks off by itself. */
async function streamEvents(
  request: WorkerRequest,
  socket: Socket,
  stream: RunningStream,
): Promise<void> {
  const from = Number(request.headers.get('last-event-id') ?? 0);
  const encode = (text: string): string =>
    stream.isUnframed ? text : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
  socket.write(formatHead(request, stream.isUnframed));
  for (let id = from + 1; id <= EVENTS; id += 1) {
    if (socket.destroyed) return;
    socket.write(encode(formatEvent(id, `piece ${id} of ${request.requestId}`)));
    stream.sent = id;
    await sleep(EVENT_GAP_MS);
  }
  if (socket.destroyed) return;
  stream.isWhole = true;
  if (stream.isUnframed) socket.end();
  else socket.write('0\r\n\r\n');
}

async function play(context: CaseContext): Promise<string[]> {
  const { readClock, record, hasTrouble, onEnd } = context;
  const store = new StoreStandIn();
  const storeAddress = await store.listen();
  onEnd(() => {
    store.close();
  });
  const { folder, remove } = createFolder();
  onEnd(remove);
  store.put('op/config', createConfiguration(1));
  const streams = new Map<string, RunningStream>();
  for (let index = 0; index < WORKERS; index += 1) {
    const mayBeUnframed = index % 2 === 0;
    const worker = new WorkerStandIn(`i-7f3a91c${index}`, readClock, (request, socket) => {
      const isUnframed = mayBeUnframed && Math.random() < UNFRAMED_SHARE;
      const { requestId } = request;
      const stream: RunningStream = { requestId, isUnframed, sent: 0, isWhole: false };
      streams.set(requestId, stream);
      const framing = isUnframed ? 'without a length or chunks' : 'in chunks';
      record(`run ${requestId} at ${request.worker}, stream ${framing}`);
      void streamEvents(request, socket, stream);
    });
    const address = await worker.listen('127.0.2.1');
    onEnd(() => {
      worker.close();
    });
    const service = 'relief-assistant';
    const entry = {
      id: worker.id,
      service,
      address,
      zone: 'ikeja',
      slots: SLOTS,
      born: Date.now(),
    };
    store.putWorker(entry, 'ready', 1);
  }
  const gateways = await prepareGateways(GATEWAYS, storeAddress, folder);
  onEnd(() => Promise.all(gateways.map((gateway) => gateway.kill())));
  for (const gateway of gateways) gateway.start();
  for (const gateway of gateways) await gateway.waitUntilReady();
  record(`${GATEWAYS} gateways ready`);

  const answers: ClientAnswer[] = [];
  const running = new Map<string, number>();
  const startedAt = readClock();
  const pending: Promise<void>[] = [];
  const disturb = async (): Promise<void> => {
    for (let kill = 0; kill < KILLS; kill += 1) {
      await sleep(Math.max(0, startedAt + FIRST_KILL_MS + kill * KILL_INTERVAL_MS - readClock()));
      const target = await findTarget();
      const gateway = gateways[target.gateway];
      if (gateway === undefined) return;
      record(`SIGKILL ${gateway.node}, ${target.requestId} has ${target.sent} of ${EVENTS} events`);
      await gateway.kill();
      await sleep(DOWN_MS);
      gateway.start();
      record(`start ${gateway.node}`);
    }
  };
  /** Waits for a stream without a length that is under way. */
  const findTarget = async (): Promise<{ gateway: number; requestId: string; sent: number }> => {
    for (;;) {
      for (const [requestId, gateway] of running) {
        const stream = streams.get(requestId);
        if (stream?.isUnframed !== true) continue;
        if (stream.sent < MIN_EVENTS_AT_KILL || stream.sent > MAX_EVENTS_AT_KILL) continue;
        return { gateway, requestId, sent: stream.sent };
      }
      await sleep(10);
    }
  };
  if (hasTrouble) pending.push(disturb());
  for (let number = 0; readClock() - startedAt < LENGTH_MS; number += 1) {
    const index = number % gateways.length;
    const gateway = gateways[index];
    await sleep(REQUEST_INTERVAL_MS);
    if (gateway?.isRunning() !== true) continue;
    const requestId = `9c41d07b${number.toString(16).padStart(8, '0')}`;
    running.set(requestId, index);
    const target = { ...gateway.address, node: gateway.node };
    const body = JSON.stringify({ question: number });
    const headers = ['Model: m', 'Token-Usage: 714,160', 'Prefix-Hash: 5c1e07a2:40,91bd3f06:674'];
    const call = { method: 'POST', path: '/chat/2f', requestId, deadlineMs: 8_000 } as const;
    record(`sent ${requestId} to ${gateway.node}`);
    const sent = sendRequest(target, { ...call, body, headers }, readClock).then((answer) => {
      const { status, ending, framing } = answer;
      const count = listEvents(answer.body).ids.length;
      record(`answered ${requestId}: ${status}, ${count} events, by ${framing}, ${ending}`);
      running.delete(requestId);
      answers.push(answer);
    });
    pending.push(sent);
  }
  await Promise.all(pending);
  return judge(answers, streams, record);
}

/** ORDER: a stream ends as complete before its last piece, though its worker did not break off. */
function judge(
  answers: readonly ClientAnswer[],
  streams: ReadonlyMap<string, RunningStream>,
  record: (line: string) => void,
): string[] {
  const breaches: string[] = [];
  const counts = { complete: 0, unframed: 0, cut: 0, failed: 0 };
  for (const answer of answers) {
    const { ids, isPartial } = listEvents(answer.body);
    const stream = streams.get(answer.requestId);
    if (answer.status !== 200) {
      counts.failed += 1;
      continue;
    }
    const isWhole = ids.length === EVENTS && ids.every((id, index) => id === index + 1);
    if (answer.ending !== 'complete' || isPartial) counts.cut += 1;
    else if (isWhole) counts.complete += 1;
    if (stream?.isUnframed === true) counts.unframed += 1;
    if (answer.ending !== 'complete' || isPartial || isWhole) continue;
    breaches.push(
      `${answer.requestId} at ${answer.gateway}: 200, framing by ${answer.framing}, ended in order ` +
        `at ${(answer.endedAt / 1_000).toFixed(3)} after event ${ids.at(-1) ?? 0} of ${EVENTS}`,
    );
  }
  record(
    `answered: ${answers.length} requests, ${counts.complete} whole streams, ${counts.cut} cut ` +
      `recognizably, ${counts.failed} failed, ${counts.unframed} streams without a length`,
  );
  return breaches;
}

await runCase('1', play);
