import seedrandom from 'seedrandom';
import type { Socket } from 'node:net';
import { eventsPerStream, formatEvent } from './platformWorker.js';
import type { RawRequest, RawWorker } from './rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from './rawWorker.js';

/** One run of a request at a faulty worker. */
export interface FaultyRun {
  readonly fault: string;
  readonly status: number;
  readonly body: string;
  /** Body of a response without a length that the worker ended early and in order, which nobody can tell from its end. */
  cutBody: string | undefined;
}

export interface FaultyWorkers {
  readonly workers: readonly RawWorker[];
  /** Runs by request id, in order of arrival. */
  readonly runs: ReadonlyMap<string, readonly FaultyRun[]>;
}

type Framing = 'length' | 'chunked' | 'none';

interface Response {
  readonly request: RawRequest;
  readonly framing: Framing;
  readonly head: string;
  readonly text: string;
  readonly run: FaultyRun;
  /** Returns a whole number below the limit. */
  readonly draw: (limit: number) => number;
}

const MAX_SECOND_DELAY_MS = 3_000;
const MAX_RESET_DELAY_MS = 40;
const HANG_MS = 250;
const MAX_PADDING = 3_000;
const framings: readonly Framing[] = ['length', 'chunked', 'none'];
const signedFailure = 'HTTP/1.1 500 Error\r\nServer-Seal: seal.failed\r\nContent-Length: 6\r\n';

const writeWhole = (socket: Socket, { text, framing }: Response): void => {
  if (framing === 'none') socket.end(text);
  else socket.write(text);
};

/** Draws a position at which a response is cut; without a length, an orderly end there looks like the end of it. */
const drawCut = ({ text, draw }: Response): number => draw(text.length);

const faults: Readonly<Record<string, (socket: Socket, response: Response) => void>> = {
  none: writeWhole,
  twiceAtOnce: (socket, response) => {
    if (response.framing === 'none') socket.end(response.text);
    else socket.write(response.text + response.text);
  },
  twiceLate: (socket, response) => {
    writeWhole(socket, response);
    const delayMs = 1 + response.draw(MAX_SECOND_DELAY_MS);
    setTimeout(() => socket.writable && socket.write(response.text), delayMs).unref();
  },
  closedEarly: (socket, response) => {
    const cut = drawCut(response);
    const { framing, head, text } = response;
    if (framing === 'none' && cut >= head.length)
      response.run.cutBody = text.slice(head.length, cut);
    socket.end(text.slice(0, cut));
  },
  resetAtOnce: (socket, response) => {
    socket.write(response.text.slice(0, drawCut(response)));
    socket.resetAndDestroy();
  },
  resetLate: (socket, response) => {
    socket.write(response.text.slice(0, drawCut(response)));
    setTimeout(() => socket.resetAndDestroy(), response.draw(MAX_RESET_DELAY_MS));
  },
  headOnly: (socket, { head }) => {
    socket.write(head);
    setTimeout(() => socket.resetAndDestroy(), HANG_MS);
  },
  failureThenSuccess: (socket, { text, request }) => {
    socket.write(`${signedFailure}Request-Id: ${request.requestId}\r\n\r\nfailed${text}`);
  },
  otherRequestId: (socket, { text, request }) => {
    socket.end(text.replaceAll(request.requestId, 'r-other'));
  },
  unsigned: (socket, { text }) => {
    socket.end(text.replace(/Server-Seal: .*\r\n/, ''));
  },
  noResponse: (socket) => {
    socket.end('220 mail.example ready\r\n');
  },
};
const faultNames = Object.keys(faults);
/** Share of requests that are served without a fault. */
const FAULTLESS_SHARE = 0.35;

/**
 * Starts workers that respond with faults drawn from a seed.
 *
 * @param seed - Seed of framings, faults and positions
 * @param count - Number of workers
 * @returns The workers and what they have answered
 */
export async function startFaultyWorkers(seed: string, count: number): Promise<FaultyWorkers> {
  const runs = new Map<string, FaultyRun[]>();
  const respond = (socket: Socket, request: RawRequest): void => {
    const runsOfRequest = runs.get(request.requestId) ?? [];
    runs.set(request.requestId, runsOfRequest);
    const random = seedrandom(`${seed}/${request.requestId}/${runsOfRequest.length}`);
    const draw = (limit: number): number => Math.floor(random() * limit);
    const fault =
      random() < FAULTLESS_SHARE ? 'none' : (faultNames[draw(faultNames.length)] ?? 'none');
    const response = buildResponse(request, fault, runsOfRequest.length, draw);
    runsOfRequest.push(response.run);
    faults[fault]?.(socket, response);
  };
  const workers: RawWorker[] = [];
  for (let index = 0; index < count; index += 1) {
    workers.push(await startRawWorker(`i-${index}`, respond));
  }
  return { workers, runs };
}

function buildResponse(
  request: RawRequest,
  fault: string,
  run: number,
  draw: (limit: number) => number,
): Response {
  const { requestId, path, lastEventId } = request;
  const isStream = path.startsWith('/chat/');
  const framing = framings[draw(framings.length)] ?? 'length';
  const pieces = isStream
    ? Array.from({ length: Math.max(0, eventsPerStream - lastEventId) }, (_, index) =>
        formatEvent(lastEventId + index + 1),
      )
    : [`answer to ${requestId} in run ${run}\n`, 'x'.repeat(1 + draw(MAX_PADDING))];
  const body = pieces.join('');
  const headers: string[] = [`Content-Type: text/${isStream ? 'event-stream' : 'plain'}`];
  if (framing === 'length') headers.push(`Content-Length: ${body.length}`);
  if (framing === 'chunked') headers.push('Transfer-Encoding: chunked');
  const head = formatHead(requestId, headers);
  const framedBody =
    framing === 'chunked' ? [...pieces, ''].map((piece) => formatChunk(piece)).join('') : body;
  const isFailure = fault === 'failureThenSuccess';
  return {
    request,
    framing,
    head,
    text: head + framedBody,
    draw,
    run: {
      fault,
      status: isFailure ? 500 : 200,
      body: isFailure ? 'failed' : body,
      cutBody: undefined,
    },
  };
}
