import { expect } from 'chai';
import type { Socket } from 'node:net';
import { formatEvent } from '../standins/platformWorker.js';
import type { RawRequest, RawWorker } from '../standins/rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import type { RunningProcess } from '../support/processes.js';
import { startProcess } from '../support/processes.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';
import type { ParsedResponse } from '../support/responseParser.js';
import { parseResponses } from '../support/responseParser.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const EVENT_STREAM = 'Content-Type: text/event-stream';
const CHUNKED = 'Transfer-Encoding: chunked';
const CALLER_TIMEOUT_MS = 2_000;
/** Time in which the gateway forwards bytes that an upstream has written, and opens a connection. */
const FORWARD_MS = 60;
/** Larger than the send and receive buffers of the kernel, so that a part stays in the process. */
const LARGE_BODY_BYTES = 24_000_000;

type Respond = (socket: Socket, request: RawRequest, worker: RawWorker) => void | Promise<void>;

const writeEvents = (socket: Socket, from: number, to: number): void => {
  for (let id = from; id <= to; id += 1) socket.write(formatEvent(id));
};
const listEvents = (from: number, to: number): string =>
  Array.from({ length: to - from + 1 }, (_, index) => formatEvent(from + index)).join('');

describe('responses of upstreams without a length or chunks', function () {
  this.timeout(30_000);
  const workers: RawWorker[] = [];
  let fixture: GatewayFixture;
  let gateway: RunningProcess | undefined;
  let url = '';

  const startWorker = async (id: string, respond: Respond, port?: number): Promise<RawWorker> => {
    const worker: RawWorker = await startRawWorker(
      id,
      (socket, request) => void respond(socket, request, worker),
      port,
    );
    workers.push(worker);
    return worker;
  };
  const start = async (...responders: Respond[]): Promise<void> => {
    for (const [index, respond] of responders.entries()) await startWorker(`i-${index}`, respond);
    fixture = await startGatewayFixture({ workers: 0, ownWorkers: workers });
    url = fixture.urls[0] ?? '';
  };
  /** Starts the workers and, in a process of its own, the gateway that is called. */
  const startWithProcess = async (...responders: Respond[]): Promise<RunningProcess> => {
    await start(...responders);
    const started = await startProcess('gateway', 'test/support/gatewayHost.ts', [
      String(fixture.store.port),
    ]);
    gateway = started;
    url = String(started.ready.url);
    return started;
  };
  const send = (path: string, body?: string, version = '1.1'): RawCaller => {
    const caller = new RawCaller(url);
    caller.send(
      formatRequest(path, 'r-1', body, ['Connection: close']).replace(
        'HTTP/1.1',
        `HTTP/${version}`,
      ),
    );
    return caller;
  };
  const readResponse = async (caller: RawCaller): Promise<ParsedResponse | undefined> => {
    const { received, end } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    return parseResponses(received, end === 'closed').responses[0];
  };
  const call = (path: string, body?: string, version?: string) =>
    readResponse(send(path, body, version));
  afterEach(async () => {
    gateway?.send('SIGKILL');
    gateway = undefined;
    await fixture.close();
    for (const worker of workers.splice(0)) await worker.close();
  });

  /** Responds with all events; the connection is the only end. */
  const respondWhole: Respond = async (socket, { requestId, lastEventId }) => {
    socket.write(formatHead(requestId, [EVENT_STREAM]));
    writeEvents(socket, lastEventId + 1, 3);
    await waitMs(FORWARD_MS);
    socket.end(formatEvent(4));
  };
  /** Its process ends between two events. */
  const respondAndDie: Respond = async (socket, { requestId, lastEventId }, worker) => {
    socket.write(formatHead(requestId, [EVENT_STREAM]));
    writeEvents(socket, lastEventId + 1, 2);
    await waitMs(FORWARD_MS);
    worker.die();
  };

  describe('while the gateway runs', () => {
    // A sound stream must not look cut to its caller because its upstream gives no length.
    it('guards against a stream that looks cut although its upstream has ended it', async () => {
      await start(respondWhole);
      expect(await call('/talk/a', 'question')).to.include({
        body: listEvents(1, 4),
        end: 'complete',
      });
    });

    // The operating system ends the connections of a killed process in order.
    it('guards against a stream that looks complete although its upstream died between two events', async () => {
      await start(respondAndDie, respondAndDie);
      expect(await call('/talk/a', 'question')).to.include({ body: listEvents(1, 2), end: 'cut' });
      expect(await call('/chat/a', 'question')).to.include({ end: 'cut' });
    });

    // A process that ends closes its listener first and may be interrupted before it closes its last connection.
    it('guards against a stream that looks complete while its upstream closes its connections one after the other', async () => {
      await start(async (socket, { requestId }, worker) => {
        socket.write(formatHead(requestId, [EVENT_STREAM]));
        writeEvents(socket, 1, 2);
        await waitMs(FORWARD_MS);
        worker.die(socket);
      });
      expect(await call('/talk/a', 'question')).to.include({ body: listEvents(1, 2), end: 'cut' });
    });

    // All of it is read at once when the gateway is busy, so the end is read before anything else can be asked.
    it('guards against a stream that looks complete although its upstream died right after its last bytes', async () => {
      await start((socket, { requestId }, worker) => {
        socket.write(formatHead(requestId, [EVENT_STREAM]) + listEvents(1, 2));
        worker.die();
      });
      expect((await call('/talk/a', 'question'))?.end).to.equal('cut');
    });

    // Where streams may be resumed, another upstream has the rest.
    it('guards against a stream that stays cut although another upstream can resume it', async () => {
      await start(respondAndDie, respondWhole);
      // Equal upstreams are picked at random, so the one that dies may be picked late.
      for (let turn = 0; turn < 4 || (turn < 64 && workers[0]!.requests.length === 0); turn += 1) {
        expect(await call('/chat/a', 'question')).to.include({
          body: listEvents(1, 4),
          end: 'complete',
        });
      }
      expect(workers[0]!.requests).to.have.length(1);
    });

    // A stream in chunks may be resumed by a run without a length and the reverse; both ends must be known.
    for (const [first, second] of [
      [[EVENT_STREAM, CHUNKED], [EVENT_STREAM]],
      [[EVENT_STREAM], [EVENT_STREAM, CHUNKED]],
    ] as const) {
      const encode = (headers: readonly string[], text: string): string =>
        headers.length > 1 ? formatChunk(text) : text;
      const resume: Respond = (socket, { requestId, lastEventId }, worker) => {
        const isResumed = lastEventId > 0;
        const headers = isResumed ? second : first;
        const events = isResumed ? listEvents(lastEventId + 1, 4) : listEvents(1, 2);
        socket.write(formatHead(requestId, headers) + encode(headers, events));
        if (!isResumed)
          setTimeout(() => {
            worker.die();
          }, FORWARD_MS);
        else if (headers.length > 1) socket.end(formatChunk(''));
        else socket.end();
      };
      it(`guards against a resumed stream that is not completed; ${first.length > 1 ? 'chunks first' : 'chunks second'}`, async () => {
        await start(resume, resume);
        expect(await call('/chat/a', 'question')).to.include({
          body: listEvents(1, 4),
          end: 'complete',
        });
      });
    }

    // A draining upstream accepts no connections while it ends its last stream.
    it('guards against a stream that looks cut because its draining upstream no longer listens', async () => {
      await start(async (socket, { requestId }, worker) => {
        socket.write(formatHead(requestId, [EVENT_STREAM]) + formatEvent(1));
        await waitMs(FORWARD_MS);
        worker.stopListening();
        socket.end(formatEvent(2));
      });
      expect(await call('/talk/a', 'question')).to.include({
        body: listEvents(1, 2),
        end: 'complete',
      });
    });

    // A body that is not a stream may be cut in the same way.
    it('guards against a body that looks complete although its upstream died', async () => {
      const respondAndDieInBody: Respond = (socket, { requestId }, worker) => {
        socket.write(`${formatHead(requestId)}half of a bal`);
        worker.die();
      };
      await start(respondAndDieInBody);
      expect(await call('/pay/a', 'question')).to.include({ status: 502, end: 'complete' });
    });

    it('guards against a body that looks cut although its upstream has ended it', async () => {
      await start((socket, { requestId }) => {
        socket.end(`${formatHead(requestId)}balance`);
      });
      expect(await call('/pay/a', 'question')).to.include({
        status: 200,
        body: 'balance',
        end: 'complete',
      });
    });

    // Responses without a body end with their head, so they need no connection that ends.
    for (const [name, method, lines, expected] of [
      ['HEAD with a length', 'HEAD', ['Content-Length: 812'], '812'],
      ['HEAD without a length', 'HEAD', [], undefined],
    ] as const) {
      it(`guards against another length than that of the upstream in a response without a body; ${name}`, async () => {
        await start((socket, { requestId }) => {
          socket.write(formatHead(requestId, lines));
        });
        const caller = new RawCaller(url);
        const request = formatRequest('/lookup/a', 'r-1', undefined, ['Connection: close']);
        caller.send(request.replace('GET', method));
        const { received } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
        expect(received).to.match(/^HTTP\/1.1 200 /);
        expect(/^content-length: (.*)$/im.exec(received)?.[1]).to.equal(expected);
        expect(received).to.not.match(/transfer-encoding/i);
      });
    }

    it('guards against a length or a failure in a response whose status allows no body', async () => {
      await start((socket, { requestId }) => {
        socket.write(formatHead(requestId, [], '204 No Content'));
      });
      const { received } = await send('/lookup/a').waitForEnd(CALLER_TIMEOUT_MS);
      expect(received).to.match(/^HTTP\/1.1 204 /);
      expect(received).to.not.match(/content-length|transfer-encoding/i);
    });

    // A caller of HTTP/1.0 reads no chunks, so only a length shows it a stream that is cut.
    it('guards against a stream without a length for a caller that reads no chunks', async () => {
      await start(respondWhole);
      expect(await call('/talk/a', 'question', '1.0')).to.include({
        status: 200,
        body: listEvents(1, 4),
        end: 'complete',
      });
    });

    it('guards against a cut stream that looks complete to a caller that reads no chunks', async () => {
      await start(respondAndDie);
      expect(await call('/talk/a', 'question', '1.0')).to.include({ status: 502 });
    });
  });

  describe('whose gateway is killed or paused', () => {
    const respondSlowly: Respond = async (socket, { requestId }) => {
      socket.write(formatHead(requestId, [EVENT_STREAM]));
      for (let id = 1; id <= 50 && !socket.destroyed; id += 1) {
        socket.write(formatEvent(id));
        await waitMs(FORWARD_MS);
      }
    };
    const killDuring = async (caller: RawCaller): Promise<ParsedResponse | undefined> => {
      await waitMs(5 * FORWARD_MS);
      gateway?.send('SIGKILL');
      return readResponse(caller);
    };

    // The operating system ends the caller's connection in order when the gateway is killed.
    it('guards against a stream that looks complete because its gateway was killed', async () => {
      await startWithProcess(respondSlowly);
      const response = await killDuring(send('/chat/a', 'question'));
      expect(response?.body).to.include(formatEvent(1));
      expect(response?.end).to.equal('cut');
    });

    it('guards against a stream that looks complete to a caller that reads no chunks because its gateway was killed', async () => {
      await startWithProcess(respondSlowly);
      const response = await killDuring(send('/chat/a', 'question', '1.0'));
      expect(response?.end).to.not.be.oneOf(['complete', 'closed']);
    });

    // A slow reader leaves a part of the body in the process.
    it('guards against a body that looks complete because its gateway was killed', async () => {
      await startWithProcess((socket, { requestId }) => {
        socket.end(formatHead(requestId) + 'x'.repeat(LARGE_BODY_BYTES));
      });
      const caller = send('/pay/a', 'question');
      caller.pause();
      await waitMs(20 * FORWARD_MS);
      gateway?.send('SIGKILL');
      await gateway?.exited;
      caller.resume();
      const response = await readResponse(caller);
      expect(response?.body.length).to.be.below(LARGE_BODY_BYTES);
      expect(response?.end).to.equal('cut');
    });

    // A stop at the end of its limit cuts what is left.
    it('guards against a stream that looks complete because its gateway was stopped', async () => {
      await start(respondSlowly);
      const caller = send('/chat/a', 'question');
      await waitMs(5 * FORWARD_MS);
      fixture.gateways[0]!.stop();
      expect((await readResponse(caller))?.end).to.equal('cut');
    });

    // A gateway that is continued finds another process at the address of the one that has died meanwhile.
    for (const overlapMs of [0, FORWARD_MS]) {
      it(`guards against a stream that looks complete because its upstream was started again while the gateway was paused; ${overlapMs} ms after the head`, async () => {
        const running = await startWithProcess((socket, { requestId }) => {
          socket.write(formatHead(requestId, [EVENT_STREAM]) + listEvents(1, 2));
        });
        const [worker] = workers;
        const caller = send('/talk/a', 'question');
        await waitUntil('request received', () => worker!.requests.length > 0, { intervalMs: 1 });
        await waitMs(overlapMs);
        running.send('SIGSTOP');
        await worker!.close();
        await startWorker('i-0', respondWhole, worker!.port);
        await waitMs(600);
        running.send('SIGCONT');
        expect((await readResponse(caller))?.end).to.equal('cut');
      });
    }
  });
});
