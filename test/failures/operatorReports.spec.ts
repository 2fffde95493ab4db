import { expect } from 'chai';
import type { Socket } from 'node:net';
import { Agent } from 'undici';
import { request } from 'undici';
import { formatEvent } from '../standins/platformWorker.js';
import type { RawRequest, RawWorker } from '../standins/rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import type { RunningProcess } from '../support/processes.js';
import { startProcess } from '../support/processes.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const STREAM_HEAD = ['Content-Type: text/event-stream', 'Transfer-Encoding: chunked'];
/** Just below the gap that the route allows. */
const SLOW_GAP_MS = 110;
const SLOW_EVENTS = 20;
const ROUTE_TIMEOUT_MS = 3_000;
const FINAL_ANSWER_MARGIN_MS = 500;
const REQUEST_INTERVAL_MS = 5;
const LOAD_MS = 4_000;
const STOP_AFTER_MS = 1_000;
const MIB = 1024 * 1024;
/** Kernel buffers of two connections, the bytes that a caller may leave unread, and one event. */
const MAX_SENT_BYTES = 24 * MIB;

const padEvent = (id: number, bytes: number): string => `id: ${id}\ndata: ${'a'.repeat(bytes)}\n\n`;

describe('reports of other operators', () => {
  let fixture: GatewayFixture;
  let workers: RawWorker[];

  const start = async (respond: (socket: Socket, request: RawRequest) => void): Promise<void> => {
    workers = [await startRawWorker('i-a', respond)];
    fixture = await startGatewayFixture({ workers: 0, ownWorkers: workers });
  };
  afterEach(async () => {
    await fixture.close();
    for (const worker of workers) await worker.close();
  });

  it('guards against a slow but sound stream that is cut', async () => {
    await start((socket, { requestId }) => {
      socket.write(formatHead(requestId, STREAM_HEAD));
      let id = 0;
      const timer = setInterval(() => {
        id += 1;
        socket.write(formatChunk(formatEvent(id)));
        if (id < SLOW_EVENTS) return;
        clearInterval(timer);
        socket.end(formatChunk(''));
      }, SLOW_GAP_MS);
    });
    const answer = await callGateway(fixture.urls[0] ?? '', '/chat/a', { 'deadline-ms': '8000' });
    expect(answer).to.include({ status: 200, isComplete: true });
    expect(answer.body).to.include(formatEvent(SLOW_EVENTS));
  });

  // Bytes without a new event must not keep a stream open beyond the time limit of its route.
  for (const [name, text] of [
    ['comments', ':\n\n'],
    ['parts of an event', 'data: a\n'],
    ['an event that it has already sent', formatEvent(1)],
  ] as const) {
    it(`guards against a stalled stream that never ends; its upstream sends ${name}`, async () => {
      await start((socket, { requestId }) => {
        socket.write(formatHead(requestId, STREAM_HEAD) + formatChunk(formatEvent(1)));
        const timer = setInterval(() => {
          if (!socket.destroyed) socket.write(formatChunk(text));
        }, 50);
        socket.once('close', () => {
          clearInterval(timer);
        });
      });
      const startedAt = performance.now();
      const answer = await callGateway(fixture.urls[0] ?? '', '/talk/a', { 'deadline-ms': '8000' });
      expect(answer.isComplete).to.equal(false);
      expect(performance.now() - startedAt).to.be.below(ROUTE_TIMEOUT_MS + FINAL_ANSWER_MARGIN_MS);
    });
  }

  // Without flow control the gateway kept in memory what its caller did not read.
  it('guards against a caller that does not read while its upstream sends events', async () => {
    let sentBytes = 0;
    await start((socket, { requestId }) => {
      socket.write(formatHead(requestId, STREAM_HEAD));
      let id = 0;
      const send = (): void => {
        if (socket.destroyed) return;
        id += 1;
        const chunk = formatChunk(padEvent(id, 64 * 1024));
        sentBytes += chunk.length;
        socket.write(chunk, () => setImmediate(send));
      };
      send();
    });
    const before = process.memoryUsage().arrayBuffers;
    const caller = new RawCaller(fixture.urls[0] ?? '');
    caller.pause();
    caller.send(formatRequest('/talk/a', 'r-1', 'question'));
    await waitUntil('stream started', () => sentBytes > MIB);
    await waitMs(500);
    const sentBefore = sentBytes;
    await waitMs(500);
    expect(sentBytes).to.equal(sentBefore);
    expect(sentBytes).to.be.below(MAX_SENT_BYTES);
    expect(process.memoryUsage().arrayBuffers - before).to.be.below(MAX_SENT_BYTES);
    caller.resume();
    await waitUntil('stream continues', () => sentBytes > sentBefore);
    caller.close();
  });
});

describe('planned stop of a gateway under load', () => {
  let gateway: RunningProcess | undefined;
  let fixture: GatewayFixture;
  let worker: RawWorker;
  afterEach(async () => {
    gateway?.send('SIGKILL');
    await fixture.close();
    await worker.close();
  });

  // A request that the gateway has read and passed on must get its answer; others may be repeated by their callers.
  it('guards against accepted requests that are cut off without an answer', async () => {
    worker = await startRawWorker('i-a', (socket, { requestId }) => {
      setTimeout(() => {
        socket.end(`${formatHead(requestId, ['Content-Length: 2'])}ok`);
      }, 40);
    });
    fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
    fixture.publishWorker(worker, { slots: 200 });
    gateway = await startProcess('gateway', 'test/support/gatewayHost.ts', [
      String(fixture.store.port),
    ]);
    await waitMs(1_000);
    const url = String(gateway.ready.url);
    const dispatcher = new Agent({ connections: 50 });
    const lost: string[] = [];
    const counts: Record<string, number> = {};
    const calls: Promise<void>[] = [];
    const call = async (id: string, isKept: boolean): Promise<void> => {
      const startedAt = performance.now();
      try {
        const response = await request(`${url}/pay/a`, {
          method: 'POST',
          body: 'question',
          headers: {
            host: 'app.example',
            'request-id': id,
            'deadline-ms': '2000',
            'x-api-key': 'key-1',
          },
          reset: !isKept,
          ...(isKept ? { dispatcher } : { dispatcher: new Agent() }),
        });
        const text = await response.body.text();
        const name = response.statusCode === 200 && text === 'ok' ? 'served' : 'refused';
        counts[name] = (counts[name] ?? 0) + 1;
      } catch {
        counts.failed = (counts.failed ?? 0) + 1;
        lost.push(`${id} after ${Math.round(performance.now() - startedAt)} ms`);
      }
    };
    const startedAt = performance.now();
    let isStopping = false;
    for (let index = 0; performance.now() - startedAt < LOAD_MS; index += 1) {
      if (!isStopping && performance.now() - startedAt > STOP_AFTER_MS) {
        isStopping = true;
        gateway.send('SIGTERM');
      }
      calls.push(call(`s-${index}`, index % 2 === 0));
      await waitMs(REQUEST_INTERVAL_MS);
    }
    await Promise.all(calls);
    expect(await gateway.exited).to.equal(0);
    const passedOn = new Set(worker.requests.map(({ requestId }) => requestId));
    const cut = lost.filter((text) => passedOn.has(text.split(' ')[0] ?? ''));
    expect(cut, JSON.stringify(counts)).to.deep.equal([]);
    expect(counts.served).to.be.greaterThan(100);
    await dispatcher.destroy();
  }).timeout(30_000);
});
