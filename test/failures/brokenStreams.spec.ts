import { expect } from 'chai';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Socket } from 'node:net';
import { BoundedClient } from '../../src/connection/boundedClient.js';
import { sendStreamExchange } from '../../src/client/entryExchange.js';
import { listenOnLoopback } from '../standins/httpServer.js';
import { formatEvent } from '../standins/platformWorker.js';
import type { RawRequest, RawWorker } from '../standins/rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import { getExampleToken } from '../support/deployment.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import { startEntryAgentPair } from '../support/pair.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';
import { parseResponses } from '../support/responseParser.js';

/** Two for each pair, as a faulty upstream gets no work for a while. */
const WORKERS = 32;
const CALLER_TIMEOUT_MS = 3_000;
/** Time in which the gateway forwards the first events. */
const FORWARD_MS = 20;
const EVENT_STREAM = 'Content-Type: text/event-stream';
const CHUNKED = 'Transfer-Encoding: chunked';
const LAST_CHUNK = '0\r\n\r\n';
const EVENTS = 4;
const FIRST_EVENTS = formatEvent(1) + formatEvent(2);
const HALF_EVENT = 'id: 3\ndata: pie';

type Respond = (socket: Socket, request: RawRequest) => void;

const framings: Readonly<Record<string, { header: string; encode: (text: string) => string }>> = {
  chunks: { header: CHUNKED, encode: formatChunk },
  length: { header: 'Content-Length: 500', encode: (text) => text },
  'no length': { header: 'X-Framing: none', encode: (text) => text },
};

const endings: Readonly<Record<string, { rest: string; close: (socket: Socket) => void }>> = {
  reset: { rest: '', close: (socket) => socket.resetAndDestroy() },
  'orderly end': { rest: '', close: (socket) => socket.end() },
  'part of an event': { rest: HALF_EVENT, close: (socket) => socket.end() },
};

const respondWith =
  (status: string, headers: readonly string[], body: string): Respond =>
  (socket, { requestId }) => {
    socket.end(formatHead(requestId, headers, status) + body);
  };
const errorText = 'internal error at worker';
const withLength = (text: string): string[] => [`Content-Length: ${text.length}`];

/** What the next upstream answers to the resumption of the stream. */
const nextAnswers: Readonly<Record<string, Respond>> = {
  '500': respondWith('500 Error', withLength(errorText), errorText),
  '500 without a length': respondWith('500 Error', [], errorText),
  '500 in chunks': respondWith('500 Error', [CHUNKED], formatChunk(errorText) + LAST_CHUNK),
  '404': respondWith('404 Not Found', withLength(errorText), errorText),
  '503, not run': respondWith('503 Full', ['Not-Executed: 1', ...withLength(errorText)], errorText),
  '421': respondWith('421 Misdirected', withLength(errorText), errorText),
  '302': respondWith('302 Found', ['Location: /x', 'Content-Length: 0'], ''),
  'a body that is no stream': respondWith('200 OK', withLength(errorText), errorText),
  'a stream of another request': (socket) => {
    const events = formatEvent(3) + formatEvent(4);
    socket.end(formatHead('r-other', [EVENT_STREAM, ...withLength(events)]) + events);
  },
  'an error in place of an event': (socket, { requestId }) => {
    const text = `event: error\ndata: ${errorText}\n\n`;
    socket.end(formatHead(requestId, [EVENT_STREAM, ...withLength(text)]) + text);
  },
  'a gap in the events': (socket, { requestId }) => {
    const text = formatEvent(4);
    socket.end(formatHead(requestId, [EVENT_STREAM, ...withLength(text)]) + text);
  },
  'bytes that are no answer': (socket) => {
    socket.end(`${errorText}\r\n\r\n`);
  },
  nothing: (socket) => {
    socket.end();
  },
  'the rest': (socket, { requestId, lastEventId }) => {
    socket.write(formatHead(requestId, [EVENT_STREAM, CHUNKED]));
    for (let id = lastEventId + 1; id <= EVENTS; id += 1)
      socket.write(formatChunk(formatEvent(id)));
    socket.end(LAST_CHUNK);
  },
};

describe('streams that break off before another upstream answers with an error', function () {
  this.timeout(60_000);
  const workers: RawWorker[] = [];
  let fixture: GatewayFixture;
  let breakOff: Respond = () => undefined;
  let answerNext: Respond = () => undefined;
  let sends = 0;
  beforeEach(async () => {
    const respond: Respond = (socket, request) => {
      sends += 1;
      if (request.lastEventId === 0) breakOff(socket, request);
      else answerNext(socket, request);
    };
    for (let index = 0; index < WORKERS; index += 1) {
      workers.push(await startRawWorker(`i-${index}`, respond));
    }
    fixture = await startGatewayFixture({ workers: 0, ownWorkers: workers });
  });
  afterEach(async () => {
    await fixture.close();
    for (const worker of workers.splice(0)) await worker.close();
  });

  for (const [framing, { header, encode }] of Object.entries(framings)) {
    for (const [ending, { rest, close }] of Object.entries(endings)) {
      // An upstream that runs on and ends a stream without a length has completed it.
      if (framing === 'no length' && ending === 'orderly end') continue;
      it(`guards against bytes of an error in a stream, or a stream that looks complete; ${framing}, ${ending}`, async () => {
        breakOff = (socket, { requestId }) => {
          socket.write(formatHead(requestId, [EVENT_STREAM, header]) + encode(FIRST_EVENTS));
          if (rest !== '') socket.write(encode(rest));
          setTimeout(() => {
            close(socket);
          }, FORWARD_MS);
        };
        const findings: string[] = [];
        let resumed = 0;
        for (const [next, respond] of Object.entries(nextAnswers)) {
          answerNext = respond;
          sends = 0;
          const caller = new RawCaller(fixture.urls[0] ?? '');
          caller.send(formatRequest('/chat/a', 'r-1', 'question', ['Connection: close']));
          const { received, end } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
          if (sends > 1) resumed += 1;
          const { responses, surplus } = parseResponses(received, end === 'closed');
          const [response] = responses;
          const isWhole = next === 'the rest' && sends > 1;
          const expected = isWhole ? FIRST_EVENTS + formatEvent(3) + formatEvent(4) : FIRST_EVENTS;
          const isExpected =
            responses.length === 1 &&
            surplus === '' &&
            response?.body === expected &&
            response.end === (isWhole ? 'complete' : 'cut');
          if (!isExpected) findings.push(`${next}: ${JSON.stringify({ received, end })}`);
        }
        expect(findings).to.deep.equal([]);
        expect(resumed).to.be.at.least(Object.keys(nextAnswers).length / 2);
      });
    }
  }
});

describe('chats whose engine breaks off before it answers the resumption with an error', function () {
  this.timeout(60_000);
  const tokens = ['a', 'b', 'c', 'd'];
  const formatLine = (index: number): string =>
    `${JSON.stringify({ index, token: tokens[index] })}\n`;
  const doneLine = `${JSON.stringify({ done: true, finish_reason: 'stop', prompt_tokens: 1 })}\n`;
  const breaks: Readonly<Record<string, (response: ServerResponse) => void>> = {
    reset: (response) => response.socket?.resetAndDestroy(),
    'orderly end': (response) => response.socket?.end(),
    'part of a line': (response) => {
      response.write('{"index":2,"tok');
      response.socket?.end();
    },
    'end of the response': (response) => response.end(),
  };
  const answers: Readonly<Record<string, (response: ServerResponse, from: number) => void>> = {
    '500': (response) => response.writeHead(500).end(errorText),
    '503': (response) => response.writeHead(503).end(errorText),
    '200 without tokens': (response) => response.end(errorText),
    'an error after a token': (response, from) => response.end(formatLine(from) + errorText),
    'a gap in the tokens': (response) => response.end(formatLine(3) + doneLine),
    nothing: (response) => response.socket?.destroy(),
    'the rest': (response, from) => {
      for (let index = from; index < tokens.length; index += 1) response.write(formatLine(index));
      response.end(doneLine);
    },
  };

  for (const [ending, breakOff] of Object.entries(breaks)) {
    for (const [next, answer] of Object.entries(answers)) {
      it(`guards against the text of an error in a chat, or a chat that looks complete; ${ending}, then ${next}`, async () => {
        let turn = 0;
        const engine = createServer((request, response) => {
          void readJsonBody(request).then((body) => {
            if (request.url === '/v1/load') {
              response.end(JSON.stringify({ running: 0, steps: turn }));
              return;
            }
            if (body.prompt === 'probe') {
              response.end(formatLine(0) + doneLine);
              return;
            }
            turn += 1;
            if (turn > 1) {
              answer(response, Number(body.resume_after));
              return;
            }
            response.write(formatLine(0) + formatLine(1));
            setTimeout(() => {
              breakOff(response);
            }, FORWARD_MS);
          });
        });
        const port = await listenOnLoopback(engine, 0);
        const pair = await startEntryAgentPair(undefined, `http://127.0.0.1:${port}`);
        const body = JSON.stringify({
          model: 'desk',
          stream: true,
          max_tokens: tokens.length,
          messages: [{ role: 'user', content: 'question' }],
        });
        const exchange = {
          method: 'POST',
          url: `http://127.0.0.1:${pair.entry.httpPort}/v1/chat/completions`,
          token: getExampleToken('branch'),
          body,
          deadlineMs: 2_000,
          answerTimeoutMs: 3_000,
          client: new BoundedClient(),
        } as const;
        let received = '';
        try {
          const response = await sendStreamExchange(exchange, (data) => {
            received += data.toString('utf8');
          });
          received += response.body.toString('utf8');
        } catch {
          received += ' (cut)';
        }
        const text = [...received.matchAll(/"content":"([a-d]+)"/g)]
          .map(([, part]) => part)
          .join('');
        const isDone = received.includes('[DONE]');
        exchange.client.close();
        await pair.close();
        engine.closeAllConnections();
        engine.close();
        expect(received).to.not.include(errorText);
        expect('abcd'.startsWith(text) && text.startsWith('ab')).to.equal(true);
        expect(isDone).to.equal(next === 'the rest' && turn > 1);
      });
    }
  }
});

async function readJsonBody(request: IncomingMessage): Promise<Record<string, unknown>> {
  let text = '';
  for await (const data of request) text += String(data);
  return text === '' ? {} : (JSON.parse(text) as Record<string, unknown>);
}
