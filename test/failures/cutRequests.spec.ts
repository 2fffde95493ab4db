import { expect } from 'chai';
import type { RawWorker } from '../standins/rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import {
  cutEndings,
  listHeadCuts,
  listPrefixes,
  runConcurrently,
} from '../support/cutResponses.js';
import { getExampleToken } from '../support/deployment.js';
import type { EntryFixture } from '../support/entryFixture.js';
import { startEntryFixture } from '../support/entryFixture.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import { startEntryAgentPair } from '../support/pair.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';
import { parseResponses } from '../support/responseParser.js';
import { waitMs, waitUntil } from '../support/waiting.js';

const CALLERS = 16;
const CALLER_TIMEOUT_MS = 3_000;
/** Time in which a server has read the bytes that a caller has written. */
const READ_MS = 20;
/** Time in which work that was begun wrongly would reach an upstream. */
const SETTLE_MS = 200;
const MAX_REPORTED = 10;
const TRAILERS = '0\r\nX-Sum: 12\r\n\r\n';
const CLOSE = 'Connection: close';
const BODY = '{"amount":1200}';
const CHAT_BODY = JSON.stringify({
  model: 'chat',
  max_tokens: 4,
  messages: [{ role: 'user', content: 'question' }],
});

/** How a caller leaves after the bytes of a cut request. */
const departures: Readonly<Record<string, (caller: RawCaller) => void>> = {
  'end of its sending half': (caller) => {
    caller.closeSending();
  },
  close: (caller) => {
    caller.close();
  },
};

/** Sends each beginning of a request, and returns the answers that are no refusals. */
async function sendCutRequests(url: string, requests: readonly string[]): Promise<string[]> {
  const cuts = requests.flatMap(listPrefixes);
  const findings: string[] = [];
  const names = Object.keys(departures);
  await runConcurrently(cuts.length * names.length, CALLERS, async (index) => {
    const cut = cuts[index % cuts.length] ?? '';
    const name = names[Math.floor(index / cuts.length)] ?? '';
    const caller = new RawCaller(url);
    caller.send(cut);
    await waitMs(READ_MS);
    departures[name]?.(caller);
    const { received, end } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    const { responses, surplus } = parseResponses(received, end === 'closed');
    const isRefused = responses.every(({ status }) => status >= 400 && status < 500);
    if (isRefused && surplus === '' && responses.length <= 1) return;
    findings.push(`${name} after ${JSON.stringify(cut.slice(-20))}: ${JSON.stringify(received)}`);
  });
  await waitMs(SETTLE_MS);
  return findings.slice(0, MAX_REPORTED);
}

/** Replaces the length of a request by chunks and trailers. */
function toChunks(request: string, body: string): string {
  const head = request.slice(0, request.length - body.length);
  const lengthLine = /Content-Length: \d+/i;
  const chunks = `${formatChunk(body.slice(0, 4)).replace('\r\n', ';x=y\r\n')}${formatChunk(body.slice(4))}`;
  return head.replace(lengthLine, 'Transfer-Encoding: chunked') + chunks + TRAILERS;
}

describe('requests that stop inside their head, body or framing', function () {
  this.timeout(60_000);

  describe('at the gateway', () => {
    let worker: RawWorker;
    let fixture: GatewayFixture;
    before(async () => {
      worker = await startRawWorker('i-0', (socket, { requestId }) => {
        socket.end(`${formatHead(requestId, ['Content-Length: 5'])}whole`);
      });
      fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
    });
    after(async () => {
      await fixture.close();
      await worker.close();
    });

    for (const [name, path, body] of [
      ['repeatable', '/lookup/a', undefined],
      ['non-repeatable', '/pay/a', BODY],
      ['stream', '/talk/a', BODY],
    ] as const) {
      // An upstream would run a request with an empty or short body.
      it(`guards against work for a request that was not received completely; ${name}`, async () => {
        const whole = formatRequest(path, 'r-1', body, [CLOSE]);
        const requests = body === undefined ? [whole] : [whole, toChunks(whole, body)];
        const earlier = worker.requests.length;
        const url = fixture.urls[0] ?? '';
        expect(await sendCutRequests(url, requests)).to.deep.equal([]);
        expect(worker.requests.length).to.equal(earlier);
        for (const request of requests) {
          const caller = new RawCaller(url);
          caller.send(request);
          const { received } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
          expect(received).to.match(/^HTTP\/1\.1 200 [^]*whole$/);
        }
        expect(worker.requests.length).to.equal(earlier + requests.length);
      });
    }
  });

  describe('at the entry', () => {
    let fixture: EntryFixture;
    before(async () => {
      fixture = await startEntryFixture([
        { upstream: 'chat-1', service: 'chat' },
        { upstream: 'ledger-1', service: 'ledger' },
        { upstream: 'pump-1', service: 'pump' },
      ]);
    });
    after(() => fixture.close());

    const countWork = (): number => {
      let count = 0;
      for (const { received } of fixture.agents) {
        for (const { type } of received) if (type === 'request' || type === 'orderPut') count += 1;
      }
      return count;
    };
    const issueSlot = async (): Promise<string> => {
      const response = await fixture.post('/v1/services/ledger/orders', { count: 1 });
      const { ids } = (await response.json()) as { ids: string[] };
      return ids[0] ?? '';
    };
    const format = (method: string, path: string, body: string): string => {
      const headers = ['Authorization: Bearer secret', CLOSE];
      return formatRequest(path, 'r-1', body, headers).replace(/^POST/, method);
    };
    const requests: Readonly<Record<string, { body: string; format: () => Promise<string> }>> = {
      chat: {
        body: CHAT_BODY,
        format: () => Promise.resolve(format('POST', '/v1/chat/completions', CHAT_BODY)),
      },
      call: {
        body: BODY,
        format: () => Promise.resolve(format('POST', '/v1/services/pump/calls', BODY)),
      },
      order: {
        body: BODY,
        format: async () => format('PUT', `/v1/services/ledger/orders/${await issueSlot()}`, BODY),
      },
    };

    for (const [name, { body, format: formatWhole }] of Object.entries(requests)) {
      // An order of which only a part has arrived would run with an empty or short body.
      it(`guards against work for a request that was not received completely; ${name}`, async () => {
        const whole = await formatWhole();
        const texts = [whole, toChunks(whole, body)];
        const earlier = countWork();
        expect(await sendCutRequests(fixture.url, texts)).to.deep.equal([]);
        expect(countWork()).to.equal(earlier);
        const callers = texts.map((text) => {
          const caller = new RawCaller(fixture.url);
          caller.send(text);
          return caller;
        });
        await waitUntil(
          'work for the whole requests',
          () => countWork() === earlier + texts.length,
        );
        for (const caller of callers) caller.close();
      });
    }
  });
});

describe('chats whose engine stops inside the head of its answer', function () {
  this.timeout(60_000);
  const LOAD = JSON.stringify({ running: 0, steps: 1 });
  const tokens = `${JSON.stringify({ index: 0, token: 'a' })}\n${JSON.stringify({ done: true, finish_reason: 'stop', prompt_tokens: 1 })}\n`;
  const heads: Readonly<Record<string, string>> = {
    chunks: formatHead('', ['Transfer-Encoding: chunked']),
    refusal: formatHead('', ['Content-Length: 0'], '503 Full'),
  };
  const endings = Object.values(cutEndings);

  for (const [shape, head] of Object.entries(heads)) {
    for (const isStreamed of [false, true]) {
      // A chat without text would look as if the engine had nothing to say.
      it(`guards against a chat that looks complete; ${shape}, ${isStreamed ? 'streamed' : 'whole'}`, async () => {
        const findings: string[] = [];
        const cuts = listHeadCuts(head).filter((_, index) => index % 3 === 0);
        for (const [index, cut] of cuts.entries()) {
          let isFaulty = false;
          let faults = 0;
          const engine = await startRawWorker('e-0', (socket, { path }) => {
            const isGeneration = path === '/v1/generate';
            const body = isGeneration ? tokens : LOAD;
            if (isGeneration && isFaulty) {
              faults += 1;
              endings[index % endings.length]?.(socket, cut);
            } else socket.end(`${formatHead('', [`Content-Length: ${body.length}`])}${body}`);
          });
          const pair = await startEntryAgentPair(undefined, engine.url);
          isFaulty = true;
          const response = await fetch(
            `http://127.0.0.1:${pair.entry.httpPort}/v1/chat/completions`,
            {
              method: 'POST',
              headers: {
                authorization: `Bearer ${getExampleToken('branch')}`,
                'x-deadline-ms': '1000',
              },
              body: JSON.stringify({
                ...(JSON.parse(CHAT_BODY) as object),
                model: 'desk',
                stream: isStreamed,
              }),
            },
          );
          const text = await response.text().catch(() => '(cut)');
          await pair.close();
          await engine.close();
          const looksWhole = isStreamed ? text.includes('[DONE]') : response.status < 400;
          if (looksWhole || faults === 0 || text.includes('HTTP/1.1'))
            findings.push(
              `${JSON.stringify(cut.slice(-12))}: ${faults} ${response.status} ${text}`,
            );
        }
        expect(findings).to.deep.equal([]);
      });
    }
  }
});
