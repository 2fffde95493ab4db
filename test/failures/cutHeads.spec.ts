import { expect } from 'chai';
import type { Socket } from 'node:net';
import { formatEvent } from '../standins/platformWorker.js';
import type { RawWorker } from '../standins/rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import type { CutEnding } from '../support/cutResponses.js';
import {
  cutEndings,
  listHeadCuts,
  listPrefixes,
  runConcurrently,
} from '../support/cutResponses.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import { formatRequest, RawCaller } from '../support/rawCaller.js';
import { parseResponses } from '../support/responseParser.js';

const LISTENERS = 4;
/** A faulty upstream gets no work for a while, so each listener serves under many ids; 800 ran out on a fast machine. */
const UPSTREAMS = 2_400;
const CALLERS = 24;
const CALLER_TIMEOUT_MS = 5_000;
const HEAD_END = '\r\n\r\n';
const EVENT_STREAM = 'Content-Type: text/event-stream';
const CHUNKED = 'Transfer-Encoding: chunked';
const LAST_CHUNK = '0\r\n\r\n';
const BODY = 'whole answer';
const EVENTS = formatEvent(1) + formatEvent(2);
/** Statuses that promise that the request has not run. */
const PROMISES: ReadonlySet<number> = new Set([408, 421, 429, 503]);
/** Failures of the gateway that promise nothing. */
const FAILURES: ReadonlySet<number> = new Set([502, 504]);
const MAX_REPORTED = 10;
/** Requests that must reach an upstream, as a refused one tests nothing. */
const MIN_SENT_RATIO = 0.9;

const NOTE = 'X-Note: ab';
const LENGTH = `Content-Length: ${BODY.length}`;

/** Formats the heads to cut, by the framing that they state. */
const shapes: Readonly<Record<string, (requestId: string) => string>> = {
  length: (id) => formatHead(id, ['Content-Type: text/plain', LENGTH, NOTE]),
  'length 0': (id) => formatHead(id, ['Content-Length: 0', NOTE]),
  chunks: (id) => formatHead(id, [CHUNKED, NOTE]),
  'no length': (id) => formatHead(id, [NOTE, 'Connection: close']),
  stream: (id) => formatHead(id, [EVENT_STREAM, NOTE]),
  refusal: (id) =>
    formatHead(id, ['Not-Executed: 1', 'Retry-After: 0.5', 'Content-Length: 0'], '503 Full'),
  'after a 102': (id) =>
    formatHead(id, ['Content-Length: 0'], '102 Processing') + formatHead(id, [LENGTH, NOTE]),
};

interface RouteCase {
  readonly path: string;
  readonly method: 'GET' | 'POST' | 'HEAD';
  /** Whether the gateway may send the request to another upstream after a broken answer. */
  readonly isRepeated: boolean;
  readonly isStream: boolean;
}

const routes: Readonly<Record<string, RouteCase>> = {
  'resumable stream': { path: '/chat/', method: 'POST', isRepeated: true, isStream: true },
  stream: { path: '/talk/', method: 'POST', isRepeated: false, isStream: true },
  repeatable: { path: '/lookup/', method: 'GET', isRepeated: true, isStream: false },
  'repeatable, HEAD': { path: '/lookup/', method: 'HEAD', isRepeated: true, isStream: false },
  'non-repeatable': { path: '/pay/', method: 'POST', isRepeated: false, isStream: false },
};

/** One request and the answers that the upstreams give to it. */
interface CutCase {
  readonly name: string;
  readonly route: RouteCase;
  /** Formats the bytes of a faulty answer. */
  readonly formatCut: (requestId: string) => string;
  readonly ending: CutEnding;
  /** Whether the second upstream answers completely; otherwise it gives the same faulty answer. */
  readonly isSecondWhole: boolean;
  /** Bytes of events that may have been forwarded before the cut. */
  readonly events?: string;
  /** Whether the faulty answer may be understood and forwarded with this body. */
  readonly acceptedBody?: string;
}

interface CallerAnswer {
  readonly status: number;
  readonly body: string;
  readonly seal: string | undefined;
  readonly end: string;
  readonly surplus: string;
  readonly count: number;
}

function parseAnswer(received: string, isClosed: boolean, method: string): CallerAnswer {
  if (method === 'HEAD') {
    const headEnd = received.indexOf(HEAD_END);
    return {
      status: Number(/^HTTP\/1\.1 (\d{3}) /.exec(received)?.[1] ?? 0),
      body: '',
      seal: /^server-seal: *(.*)$/im.exec(received)?.[1],
      end: headEnd === -1 ? 'cut' : 'complete',
      surplus: headEnd === -1 ? '' : received.slice(headEnd + HEAD_END.length),
      count: headEnd === -1 ? 0 : 1,
    };
  }
  const { responses, surplus } = parseResponses(received, isClosed);
  const { status = 0, body = '', seal, end = 'cut' } = responses[0] ?? {};
  return { status, body, seal, end, surplus, count: responses.length };
}

/** All ids have the same length, so that a cut has the same number in the heads of all requests. */
function formatId(index: number): string {
  return `r-${String(index).padStart(5, '0')}`;
}

function parseErrorCode(body: string): unknown {
  try {
    return (JSON.parse(body) as { error?: { code?: unknown } }).error?.code;
  } catch {
    return undefined;
  }
}

describe('answers that stop inside their head or framing', function () {
  this.timeout(60_000);
  const workers: RawWorker[] = [];
  const cases: CutCase[] = [];
  const sends = new Map<number, number>();
  let fixture: GatewayFixture;

  const answer = (socket: Socket, requestId: string, index: number): void => {
    const cutCase = cases[index];
    if (cutCase === undefined) return;
    const turn = (sends.get(index) ?? 0) + 1;
    sends.set(index, turn);
    if (turn === 1 || !cutCase.isSecondWhole) {
      cutEndings[cutCase.ending](socket, cutCase.formatCut(requestId));
      return;
    }
    const { isStream, method } = cutCase.route;
    if (isStream) {
      const head = formatHead(requestId, [EVENT_STREAM, CHUNKED]);
      socket.end(head + formatChunk(EVENTS) + LAST_CHUNK);
    } else {
      socket.end(formatHead(requestId, [LENGTH]) + (method === 'HEAD' ? '' : BODY));
    }
  };

  before(async () => {
    for (let index = 0; index < LISTENERS; index += 1) {
      const worker = await startRawWorker(`l-${index}`, (socket, { requestId, path }) => {
        answer(socket, requestId, Number(path.split('/').at(-1)));
      });
      workers.push(worker);
    }
    const ownWorkers = Array.from({ length: UPSTREAMS }, (_, index) => {
      const { port } = workers[index % LISTENERS]!;
      return { id: `i-${index}`, port };
    });
    const repeats = { windowMs: 10_000, ratio: 1, extra: 10_000, gateways: 1 };
    fixture = await startGatewayFixture({ workers: 0, ownWorkers, settings: { repeats } });
  });
  after(async () => {
    await fixture.close();
    for (const worker of workers) await worker.close();
  });

  /** Sends the request of a case and describes an answer that its caller must not get. */
  const runCase = async (index: number): Promise<{ finding?: string; status: number }> => {
    const cutCase = cases[index]!;
    const { route, name } = cutCase;
    const caller = new RawCaller(fixture.urls[0] ?? '');
    const body = route.method === 'POST' ? 'question' : undefined;
    const request = formatRequest(`${route.path}${index}`, formatId(index), body, [
      'Connection: close',
    ]);
    caller.send(route.method === 'HEAD' ? request.replace('GET', 'HEAD') : request);
    const { received, end } = await caller.waitForEnd(CALLER_TIMEOUT_MS);
    const parsed = parseAnswer(received, end === 'closed', route.method);
    const fault = findFault(cutCase, parsed, sends.get(index) ?? 0);
    const { status } = parsed;
    if (fault === undefined) return { status };
    const finding = `${name}: ${fault} ${JSON.stringify({ sends: sends.get(index), received, end })}`;
    return { finding, status };
  };

  const findFault = (
    { route, isSecondWhole, events = '', acceptedBody }: CutCase,
    { status, body, seal, end, surplus, count }: CallerAnswer,
    sent: number,
  ): string | undefined => {
    if (count !== 1) return 'not one response';
    if (surplus !== '') return 'surplus bytes';
    if (sent > (route.isRepeated ? 2 : 1)) return 'sent too often';
    if (PROMISES.has(status)) return sent === 0 ? undefined : 'a promise although it was sent';
    if (FAILURES.has(status)) {
      if (seal !== undefined) return 'a failure of the gateway with a signature';
      if (route.method === 'HEAD') return undefined;
      const code = parseErrorCode(body);
      return end === 'complete' && code !== undefined ? undefined : 'not the error of the gateway';
    }
    if (status !== 200) return 'unexpected status';
    if (acceptedBody !== undefined && body === acceptedBody && end === 'complete') return undefined;
    if (end === 'cut' && events.startsWith(body) && body !== '') return undefined;
    if (end !== 'complete') return 'success without its end';
    if (sent < 2 || !isSecondWhole) return 'success that looks whole';
    const wholeBody = route.isStream ? EVENTS : BODY;
    return body === (route.method === 'HEAD' ? '' : wholeBody) ? undefined : 'wrong body';
  };

  /** Runs cases and returns how many callers got a whole answer from the second upstream. */
  const runCases = async (added: readonly CutCase[]): Promise<number> => {
    const first = cases.length;
    cases.push(...added);
    let successes = 0;
    let sent = 0;
    const findings: string[] = [];
    await runConcurrently(added.length, CALLERS, async (offset) => {
      const { finding, status } = await runCase(first + offset);
      if (status === 200) successes += 1;
      if (sends.has(first + offset)) sent += 1;
      if (finding !== undefined) findings.push(finding);
    });
    expect(findings.slice(0, MAX_REPORTED)).to.deep.equal([]);
    expect(sent).to.be.above(added.length * MIN_SENT_RATIO);
    return successes;
  };

  const endingNames = Object.keys(cutEndings) as CutEnding[];

  for (const [routeName, route] of Object.entries(routes)) {
    for (const [shape, format] of Object.entries(shapes)) {
      // A caller that takes such an answer for a whole one loses its result without noticing.
      it(`guards against a cut head that counts as a whole answer or as not run; ${routeName}, ${shape}`, async () => {
        const cuts = listHeadCuts(format(formatId(0)));
        const added = endingNames.flatMap((ending, endingIndex) =>
          cuts.map((_, cutIndex): CutCase => ({
            name: `cut ${cutIndex} of ${cuts.length}, ${ending}`,
            route,
            formatCut: (id) => listHeadCuts(format(id))[cutIndex] ?? '',
            ending,
            isSecondWhole: (cutIndex + endingIndex) % 2 === 0,
          })),
        );
        const successes = await runCases(added);
        expect(successes > 0).to.equal(route.isRepeated);
      });
    }
  }

  const trailers = '0\r\nX-Sum: 12\r\n\r\n';
  const chunkedBodies: Readonly<Record<string, { header: string; text: string }>> = {
    body: { header: 'Content-Type: text/plain', text: BODY },
    stream: { header: EVENT_STREAM, text: EVENTS },
  };

  for (const [routeName, route] of Object.entries(routes)) {
    if (route.method === 'HEAD') continue;
    for (const [kind, { header, text }] of Object.entries(chunkedBodies)) {
      // The last chunk alone shows that a body in chunks is complete.
      it(`guards against a body that is cut in a size line, a chunk or the trailers and looks whole; ${routeName}, ${kind}`, async () => {
        const half = Math.floor(text.length / 2);
        const encoded = `${text.slice(0, half).length.toString(16)};x=y\r\n${text.slice(0, half)}\r\n${formatChunk(text.slice(half))}${trailers}`;
        const added = listPrefixes(encoded).map((cut, index): CutCase => ({
          name: `cut after ${JSON.stringify(cut.slice(-8))}`,
          route,
          formatCut: (id) => formatHead(id, [header, CHUNKED, 'Trailer: X-Sum']) + cut,
          ending: endingNames[index % endingNames.length]!,
          isSecondWhole: index % 2 === 0,
          events: kind === 'stream' ? text : '',
        }));
        await runCases(added);
      });
    }
  }

  // A bare CR or LF must not end a line for the gateway that it does not end for its caller, or hide a header.
  for (const [routeName, route] of Object.entries(routes)) {
    if (route.isStream || route.method === 'HEAD') continue;
    it(`guards against a head with a bare CR or LF whose body is misread; ${routeName}`, async () => {
      const format = (id: string): string => formatHead(id, [LENGTH, NOTE]);
      const lineEnds = format('r-0').split('\r\n').length - 1;
      const added = ['\r', '\n'].flatMap((lineEnd) =>
        Array.from({ length: lineEnds }, (_, index): CutCase => ({
          name: `line ${index} ends with ${JSON.stringify(lineEnd)}`,
          route,
          formatCut: (id) => {
            const lines = format(id).split('\r\n');
            const before = lines.slice(0, index + 1).join('\r\n');
            return `${before}${lineEnd}${lines.slice(index + 1).join('\r\n')}${BODY}`;
          },
          ending: 'orderly end',
          isSecondWhole: false,
          acceptedBody: BODY,
        })),
      );
      await runCases(added);
    });
  }
});
