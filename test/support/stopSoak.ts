import type { Socket } from 'node:net';
import seedrandom from 'seedrandom';
import { formatEvent } from '../standins/platformWorker.js';
import type { RawRequest, RawWorker } from '../standins/rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import type { GatewayPorts, GatewayProgram } from './gatewayProgram.js';
import {
  reserveGatewayPorts,
  startGatewayProgram,
  waitUntilProgramReady,
} from './gatewayProgram.js';
import { startGatewayFixture } from './gatewayFixture.js';
import type { Call, StoppableGateway } from './stopCallers.js';
import { runCaller } from './stopCallers.js';
import { createStopRoutes } from './stopFixture.js';
import { waitMs } from './waiting.js';

const STOP_LIMIT_MS = 8_000;
/** An upstream that is at work in the last sixth of the limit excuses the cut of a request from before this time. */
const EXCUSED_SENT_MS = 3_000;
const EXCUSED_WORK_MS = (STOP_LIMIT_MS * 5) / 6;
/** A request that crosses the close of its connection may end without a response within this time. */
const CROSSING_MS = 200;
/** When callers send nothing more to a stopping gateway on new connections, and kept connections should be used up. */
const LATE_MS = 2_600;
const MIN_WORK_MS = 300;
const WORK_RANGE_MS = 5_200;
const EVENT_INTERVAL_MS = 100;
const ROUTE_TIMEOUT_MS = 8_000;
/** A response at the time limit of a request comes this much before its deadline at the most. */
const DEADLINE_MARGIN_MS = 100;
const WARM_UP_MS = 2_000;
const RESTART_DELAY_MS = 200;
const UPSTREAM_SLOTS = 32;
const services = ['/chat/a', '/talk/a', '/lookup/a', '/pay/a'] as const;

/** What an upstream did for a request; times are monotonic, in milliseconds. */
export interface Work {
  readonly startedAt: number;
  /** Undefined while the upstream is at work, or if its caller closed the connection before. */
  finishedAt: number | undefined;
  abandonedAt: number | undefined;
}

export interface StopSoakPlan {
  readonly seed: string;
  readonly gateways: number;
  readonly upstreams: number;
  readonly callers: number;
  /** Sends the signals; the soak ends after it and after the last stop. */
  disturb(control: StopControl): Promise<void>;
}

/** What a plan may do to the gateways. */
export interface StopControl {
  readonly random: () => number;
  /** Sends SIGTERM to a gateway, and starts it again when it has ended. */
  readonly stop: (index: number) => Promise<void>;
  /** Sends another signal to a gateway, or SIGTERM once more. */
  readonly send: (index: number, signal: NodeJS.Signals) => void;
  readonly wait: (durationMs: number) => Promise<void>;
  readonly publishConfiguration: () => void;
}

/** A request with what upstreams did for it. */
export interface CallRecord extends Call {
  readonly work: readonly Work[];
}

export interface StopSoakResult {
  readonly calls: readonly CallRecord[];
  readonly logs: ReadonlyMap<string, readonly string[]>;
  /** Exit code or signal of each stop. */
  readonly exits: readonly (number | string | null)[];
}

/**
 * Runs callers that use their open connections as long as they can, while gateways are stopped and started again.
 *
 * @param plan - Sizes, seed and signals
 * @returns All requests, and the logs of the gateways
 */
export async function runStopSoak(plan: StopSoakPlan): Promise<StopSoakResult> {
  const random = seedrandom(plan.seed);
  const work = new Map<string, Work[]>();
  const workers = await Promise.all(
    Array.from({ length: plan.upstreams }, (_, index) => startWorker(index, work)),
  );
  const fixture = await startGatewayFixture({ workers: 0, ownWorkers: workers, started: 0 });
  for (const worker of workers) fixture.publishWorker(worker, { slots: UPSTREAM_SLOTS });
  let version = 2;
  const publishConfiguration = (): void => {
    fixture.publishConfiguration(version, { routes: createStopRoutes(ROUTE_TIMEOUT_MS) });
    version += 1;
  };
  publishConfiguration();
  const ports = await Promise.all(Array.from({ length: plan.gateways }, reserveGatewayPorts));
  const logs = new Map<string, readonly string[]>();
  let starts = 0;
  const startGateway = async (own: GatewayPorts): Promise<GatewayProgram> => {
    starts += 1;
    const program = await startGatewayProgram({
      storePort: fixture.store.port,
      stopLimitMs: STOP_LIMIT_MS,
      processId: `gateway-${ports.indexOf(own)}-${starts}`,
      ports: own,
      seedPorts: ports.map(({ links }) => links),
    });
    logs.set(program.processId, program.log);
    return program;
  };
  const gateways: StoppableGateway[] = [];
  for (const own of ports)
    gateways.push({ program: await startGateway(own), stoppedAt: undefined });
  for (const { program } of gateways) await waitUntilProgramReady(program);

  const calls: Call[] = [];
  const exits: (number | string | null)[] = [];
  let isRunning = true;
  let count = 0;
  const callers = Array.from({ length: plan.callers }, async (_, index) => {
    const draw = seedrandom(`${plan.seed}-${index}`);
    await waitMs(draw() * MIN_WORK_MS);
    await runCaller({
      listGateways: () => gateways,
      drawPath: () => services[Math.floor(draw() * services.length)] ?? services[0],
      random: draw,
      createRequestId: () => {
        count += 1;
        return `r-${count}`;
      },
      isRunning: () => isRunning,
      onCall: (call) => calls.push(call),
    });
  });
  await waitMs(WARM_UP_MS);
  const stops: Promise<void>[] = [];
  const stopAndRestart = async (index: number): Promise<void> => {
    const gateway = gateways[index];
    if (gateway === undefined || gateway.stoppedAt !== undefined) return;
    gateway.stoppedAt = performance.now();
    gateway.program.child.kill('SIGTERM');
    const killTimer = setTimeout(() => gateway.program.child.kill('SIGKILL'), STOP_LIMIT_MS);
    exits.push(await gateway.program.ended);
    clearTimeout(killTimer);
    await waitMs(RESTART_DELAY_MS);
    const own = ports[index];
    if (own === undefined) return;
    const program = await startGateway(own);
    await waitUntilProgramReady(program);
    gateways[index] = { program, stoppedAt: undefined };
  };
  await plan.disturb({
    random,
    stop: (index) => {
      const stopped = stopAndRestart(index);
      stops.push(stopped);
      return stopped;
    },
    send: (index, signal) => gateways[index]?.program.child.kill(signal),
    wait: waitMs,
    publishConfiguration,
  });
  await Promise.all(stops);
  isRunning = false;
  await Promise.all(callers);
  for (const { program } of gateways) program.child.kill('SIGKILL');
  await fixture.close();
  for (const worker of workers) await worker.close();
  return {
    calls: calls.map((call) => ({ ...call, work: work.get(call.requestId) ?? [] })),
    logs,
    exits,
  };
}

/**
 * Finds requests that a planned stop has cut, or ended with a time-out before their deadline, although their gateway
 * could have refused or finished them, and refused ones that have run.
 *
 * @param calls - Requests of a soak
 * @returns A line for each
 */
export function findStopFaults(calls: readonly CallRecord[]): string[] {
  const faults: string[] = [];
  for (const call of calls) {
    if (call.status === 503 && call.work.length > 0)
      faults.push(`refused, but ran: ${describeCall(call)}`);
    const { stoppedAt } = call.gateway;
    if (stoppedAt === undefined || call.endedAt < stoppedAt) continue;
    if (isPastDeadline(call) || (call.end === 'complete' && call.status !== 504)) continue;
    const hasCrossedClose = call.work.length === 0 && call.endedAt - call.sentAt <= CROSSING_MS;
    if (!hasCrossedClose && !isExcused(call, stoppedAt)) faults.push(describeCall(call));
  }
  return faults;
}

/**
 * Counts the requests of a soak.
 *
 * @param calls - Requests of a soak
 * @returns Numbers of requests
 */
export function countStopCalls(calls: readonly CallRecord[]): Readonly<Record<string, number>> {
  const isLate = (call: Call): boolean =>
    call.gateway.stoppedAt !== undefined && call.sentAt - call.gateway.stoppedAt > LATE_MS;
  const isUnanswered = (call: CallRecord): boolean =>
    call.end === 'unanswered' && call.work.length === 0;
  return {
    requests: calls.length,
    afterStop: calls.filter(
      ({ gateway, sentAt }) => gateway.stoppedAt !== undefined && sentAt > gateway.stoppedAt,
    ).length,
    late: calls.filter(isLate).length,
    latePassedOn: calls.filter((call) => isLate(call) && call.work.length > 0).length,
    refused: calls.filter(({ status }) => status === 503).length,
    pastDeadline: calls.filter(isPastDeadline).length,
    cut: calls.filter(
      (call) => call.end !== 'complete' && call.work.length > 0 && !isPastDeadline(call),
    ).length,
    unansweredAndNotRun: calls.filter(isUnanswered).length,
  };
}

/** Whether a request ended by its own time limit. */
function isPastDeadline({ sentAt, endedAt, deadlineMs }: Call): boolean {
  return endedAt - sentAt >= deadlineMs - DEADLINE_MARGIN_MS;
}

function isExcused({ sentAt, work }: CallRecord, stoppedAt: number): boolean {
  if (sentAt - stoppedAt > EXCUSED_SENT_MS) return false;
  return work.some(
    ({ finishedAt, abandonedAt }) =>
      (finishedAt ?? abandonedAt ?? Infinity) - stoppedAt > EXCUSED_WORK_MS,
  );
}

function describeCall(call: CallRecord): string {
  const stoppedAt = call.gateway.stoppedAt ?? 0;
  const after = (time: number): number => Math.round(time - stoppedAt);
  const work = call.work.map(({ startedAt, finishedAt, abandonedAt }) => {
    const end = finishedAt === undefined ? 'abandoned' : 'finished';
    return `${after(startedAt)}..${after(finishedAt ?? abandonedAt ?? Infinity)} ${end}`;
  });
  return `${call.requestId} ${call.path} at ${call.gateway.program.processId}: connected ${after(call.connectedAt)}, sent ${after(call.sentAt)}, ${call.end} ${after(call.endedAt)} ms after SIGTERM, status ${call.status ?? 'none'}, work [${work.join(', ')}]`;
}

function startWorker(index: number, work: Map<string, Work[]>): Promise<RawWorker> {
  return startRawWorker(`i-${index}`, (socket, request) => {
    if (!request.requestId.startsWith('r-')) {
      socket.end('HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n');
      return;
    }
    const entry: Work = {
      startedAt: performance.now(),
      finishedAt: undefined,
      abandonedAt: undefined,
    };
    work.set(request.requestId, [...(work.get(request.requestId) ?? []), entry]);
    socket.once('close', () => {
      if (entry.finishedAt === undefined) entry.abandonedAt = performance.now();
    });
    void respond(socket, request).then(() => {
      if (!socket.destroyed) entry.finishedAt = performance.now();
    });
  });
}

/** Time that upstreams work on a request, in milliseconds. */
function computeWorkMs(requestId: string): number {
  return MIN_WORK_MS + seedrandom(requestId)() * WORK_RANGE_MS;
}

async function respond(
  socket: Socket,
  { requestId, path, lastEventId }: RawRequest,
): Promise<void> {
  const workMs = computeWorkMs(requestId);
  if (path.startsWith('/lookup/') || path.startsWith('/pay/')) {
    await waitMs(workMs);
    if (!socket.destroyed) socket.end(`${formatHead(requestId, ['Content-Length: 4'])}done`);
    return;
  }
  const isChunked = path.startsWith('/chat/');
  const framing = isChunked ? ['Transfer-Encoding: chunked'] : [];
  socket.write(formatHead(requestId, ['Content-Type: text/event-stream', ...framing]));
  const events = Math.ceil(workMs / EVENT_INTERVAL_MS);
  for (let id = lastEventId + 1; id <= events && !socket.destroyed; id += 1) {
    const event = formatEvent(id);
    socket.write(isChunked ? formatChunk(event) : event);
    await waitMs(EVENT_INTERVAL_MS);
  }
  if (!socket.destroyed) socket.end(isChunked ? formatChunk('') : '');
}
