import type { Socket } from 'node:net';
import seedrandom from 'seedrandom';
import { formatEvent } from '../standins/platformWorker.js';
import type { RawRequest, RawWorker } from '../standins/rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import type { GatewayFixture } from './gatewayFixture.js';
import { startGatewayFixture } from './gatewayFixture.js';
import { reservePorts } from './ports.js';
import type { RunningProcess } from './processes.js';
import { startProcess } from './processes.js';
import { formatRequest, RawCaller } from './rawCaller.js';
import { parseResponses } from './responseParser.js';
import { waitMs } from './waiting.js';

const WORKERS = 4;
const GATEWAYS = 2;
const CALLERS = 12;
const MIN_EVENTS = 4;
const EXTRA_EVENTS = 10;
const EVENT_INTERVAL_MS = 25;
const CALL_TIMEOUT_MS = 2_500;
/** A process is not back at its address sooner. */
const MIN_RESTART_MS = 300;
const MAX_RESTART_MS = 1_200;
const MAX_PAUSE_MS = 1_500;

export interface SoakResult {
  /** Responses that looked complete and were not what the upstream has for the request. */
  readonly findings: readonly string[];
  readonly counts: Readonly<Record<'complete' | 'cut' | 'failed' | 'signals' | 'deaths', number>>;
}

/** Number of events that each upstream has for a request. */
function countEvents(requestId: string): number {
  return MIN_EVENTS + (Number(requestId.split('-').at(-1)) % EXTRA_EVENTS);
}

function listEvents(requestId: string): string {
  let text = '';
  for (let id = 1; id <= countEvents(requestId); id += 1) text += formatEvent(id);
  return text;
}

async function respond(socket: Socket, request: RawRequest, isUnframed: boolean): Promise<void> {
  const { requestId, path } = request;
  const head = path.startsWith('/chat/') ? ['Content-Type: text/event-stream'] : [];
  const encode = (text: string): string => (isUnframed ? text : formatChunk(text));
  socket.write(formatHead(requestId, isUnframed ? head : [...head, 'Transfer-Encoding: chunked']));
  for (let id = request.lastEventId + 1; id <= countEvents(requestId); id += 1) {
    if (socket.destroyed) return;
    socket.write(encode(formatEvent(id)));
    await waitMs(EVENT_INTERVAL_MS);
  }
  if (socket.destroyed) return;
  if (isUnframed) socket.end();
  else socket.end(formatChunk(''));
}

/**
 * Runs callers with kept connections while upstreams die and start again, and gateways are killed, stopped, paused and
 * started again, in series that overlap.
 *
 * @param seed - Seed of all choices
 * @param durationMs - Duration of the disturbances
 * @returns What callers received
 */
export async function runUnframedSoak(seed: string, durationMs: number): Promise<SoakResult> {
  const random = seedrandom(seed);
  const counts = { complete: 0, cut: 0, failed: 0, signals: 0, deaths: 0 };
  const findings: string[] = [];
  const startWorker = (index: number, port = 0): Promise<RawWorker> =>
    startRawWorker(
      `i-${index}`,
      (socket, request) => void respond(socket, request, random() < 0.7),
      port,
    );
  const workers = await Promise.all(
    Array.from({ length: WORKERS }, (_, index) => startWorker(index)),
  );
  const fixture: GatewayFixture = await startGatewayFixture({
    workers: 0,
    ownWorkers: workers,
    started: 0,
  });
  const ports = await reservePorts(3 * GATEWAYS);
  const portLists = Array.from({ length: GATEWAYS }, (_, index) =>
    ports.slice(3 * index, 3 * index + 3).join(','),
  );
  const startGateway = (index: number): Promise<RunningProcess> =>
    startProcess(`gateway-${index}`, 'test/support/gatewayHost.ts', [
      String(fixture.store.port),
      String(index),
      ...portLists,
    ]);
  const gateways = await Promise.all(portLists.map((_list, index) => startGateway(index)));
  const startedAt = performance.now();
  const isRunning = (): boolean => performance.now() - startedAt < durationMs;

  const pick = <Item>(items: readonly Item[]): Item => {
    const item = items[Math.floor(random() * items.length)];
    if (item === undefined) throw new Error('nothing to pick from');
    return item;
  };
  const disturbWorkers = async (indices: readonly number[]): Promise<void> => {
    while (isRunning()) {
      await waitMs(random() * 800);
      const index = pick(indices);
      const worker = workers[index];
      if (worker === undefined) return;
      counts.deaths += 1;
      worker.die();
      await waitMs(MIN_RESTART_MS + random() * (MAX_RESTART_MS - MIN_RESTART_MS));
      workers[index] = await startWorker(index, worker.port);
    }
  };
  const disturbGateway = async (index: number): Promise<void> => {
    while (isRunning()) {
      await waitMs(300 + random() * 1_500);
      const gateway = gateways[index];
      if (gateway === undefined) return;
      const kind = Math.floor(random() * 3);
      counts.signals += 1;
      if (kind === 0) {
        gateway.send('SIGSTOP');
        await waitMs(random() * MAX_PAUSE_MS);
        gateway.send('SIGCONT');
        continue;
      }
      gateway.send(kind === 1 ? 'SIGKILL' : 'SIGTERM');
      if (kind === 2 && random() < 0.5) {
        await waitMs(random() * 500);
        gateway.send(random() < 0.5 ? 'SIGTERM' : 'SIGHUP');
      }
      await gateway.exited;
      gateways[index] = await startGateway(index);
    }
  };
  let number = 0;
  const callOnce = async (caller: RawCaller, answered: number): Promise<boolean> => {
    number += 1;
    const isStream = random() < 0.8;
    const requestId = `r-${number}`;
    caller.send(
      formatRequest(
        isStream ? '/chat/a' : '/lookup/a',
        requestId,
        isStream ? 'question' : undefined,
      ),
    );
    const until = performance.now() + CALL_TIMEOUT_MS;
    let responses = parseResponses(caller.received, false).responses;
    while (performance.now() < until && caller.end === 'open') {
      responses = parseResponses(caller.received, false).responses;
      if (responses[answered]?.end === 'complete') break;
      await waitMs(10);
    }
    const response = parseResponses(caller.received, caller.end === 'closed').responses[answered];
    if (response?.status !== 200) {
      counts.failed += 1;
      return response?.end === 'complete';
    }
    if (response.end === 'cut') {
      counts.cut += 1;
      return false;
    }
    counts.complete += 1;
    const isExpected = response.end === 'complete' && response.body === listEvents(requestId);
    if (!isExpected) {
      findings.push(
        `${requestId} looks complete (${response.end}) with ${JSON.stringify(response.body)}`,
      );
    }
    return response.end === 'complete';
  };
  const runCaller = async (): Promise<void> => {
    while (isRunning()) {
      const gateway = pick(gateways);
      const caller = new RawCaller(String(gateway.ready.url));
      for (let answered = 0; isRunning(); answered += 1) {
        if (!(await callOnce(caller, answered))) break;
      }
      caller.close();
      await waitMs(50);
    }
  };
  await Promise.all([
    disturbWorkers([0, 1]),
    disturbWorkers([2, 3]),
    ...gateways.map((_gateway, index) => disturbGateway(index)),
    ...Array.from({ length: CALLERS }, runCaller),
  ]);
  for (const gateway of gateways) {
    gateway.send('SIGCONT');
    gateway.send('SIGKILL');
  }
  await fixture.close();
  for (const worker of workers) await worker.close();
  return { findings, counts };
}
