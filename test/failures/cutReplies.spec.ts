import { expect } from 'chai';
import { randomUUID } from 'node:crypto';
import type { Result } from 'ts-results-es';
import { engineProbe, RankEngineClient } from '../../platform/rankEngineClient.js';
import { StoreClient } from '../../platform/storeClient.js';
import { fetchOperatorJson } from '../../src/cli/operatorClient.js';
import { CallerClient } from '../../src/client/callerClient.js';
import { createEngineAdapter } from '../../src/process/agent/upstreams/engine.js';
import { sendOrder } from '../../src/process/agent/upstreams/orderExchange.js';
import { createPlainAdapter } from '../../src/process/agent/upstreams/plain.js';
import type { Exchange, ExchangeResult } from '../../src/process/agent/upstreams/types.js';
import { EngineClient } from '../../src/process/group/engineClient.js';
import { PlatformClient } from '../../src/process/membership/platformClient.js';
import type { RawWorker } from '../standins/rawWorker.js';
import { formatChunk, formatHead, startRawWorker } from '../standins/rawWorker.js';
import type { CutEnding } from '../support/cutResponses.js';
import {
  cutEndings,
  listHeadCuts,
  listPrefixes,
  runConcurrently,
} from '../support/cutResponses.js';
import { waitUntil } from '../support/waiting.js';

const SERVERS = 8;
const TIMEOUT_MS = 3_000;
const MAX_REPORTED = 10;
const CHUNKED = 'Transfer-Encoding: chunked';
const LAST_CHUNK = '0\r\n\r\n';
/** A head without an id has fewer cuts; the last one stands for those that it lacks. */
const SAMPLE_ID = randomUUID();
const TRAILERS = '0\r\nX-Sum: 12\r\n\r\n';
const token = { incarnation: 1, fencing: 1 };
const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };

/** What a client makes of an answer: `lost` if it knows that it has not received all of it. */
type Verdict = 'whole' | 'lost' | 'refused' | 'not run' | 'no group';

interface ClientCase {
  /** Sends one request and returns what the client makes of the answer. */
  ask(url: string): Promise<Verdict>;
  /** Body of a complete answer. */
  readonly body: unknown;
  /** Whether the head alone tells the result, so that the body may be cut. */
  readonly needsHeadOnly?: boolean;
  /** Whether a body without a length may count as complete: its process lives on, or the status tells the result. */
  readonly takesUnframed?: boolean;
  /** Text of the body after which nothing is missing. */
  readonly endMarker?: string;
}

const toVerdict = (result: Result<unknown, unknown>): Verdict => (result.isOk() ? 'whole' : 'lost');
const toAdapterVerdict = (result: ExchangeResult): Verdict => {
  if (result.kind === 'done') return 'whole';
  return result.started ? 'lost' : 'refused';
};
const createExchange = (): Exchange => ({
  id: 'c-1',
  body: Buffer.from('{"prompt":"p"}'),
  resumeAfter: 0,
  resumeText: '',
  priority: 1,
  maxOutputTokens: 4,
  signal: AbortSignal.timeout(TIMEOUT_MS),
  onTokens: () => undefined,
});
const hasPaused = (): boolean => false;

/** Creates a case of a client that is closed after each request. */
function createCase<Client extends { close(): unknown }>(
  open: (url: string) => Client,
  send: (client: Client) => Promise<Verdict>,
  body: unknown,
  traits: Omit<ClientCase, 'ask' | 'body'> = {},
): ClientCase {
  return {
    ...traits,
    body,
    ask: async (url) => {
      const client = open(url);
      try {
        return await send(client);
      } finally {
        await client.close();
      }
    },
  };
}

const openCaller = (url: string): CallerClient =>
  new CallerClient({ entries: [url], token: 't', settleLimitMs: 1, answerTimeoutMs: TIMEOUT_MS });
const openStore = (url: string): StoreClient => new StoreClient(new URL(url).host);
const openRank = (url: string): RankEngineClient => new RankEngineClient(new URL(url).host);
const openGroupEngine = (url: string): EngineClient => new EngineClient(url, 'checked');
const openPlatform = (url: string): PlatformClient => new PlatformClient(url, TIMEOUT_MS);
const openPlain = (url: string) => createPlainAdapter(url, hasPaused);

const chat = { model: 'm', messages: [{ role: 'user', content: 'question' }] };
const outcome = { id: 'ord_1', state: 'done', status: 200, body: {} };
const tokenLines = `${JSON.stringify({ index: 0, token: 'a' })}\n${JSON.stringify({ done: true, finish_reason: 'stop', prompt_tokens: 1 })}\n`;
const configuration = {
  key: 'op/config',
  value: Buffer.from(JSON.stringify({ version: 1, routes: [], services: [], limits })).toString(
    'base64',
  ),
  revision: 1,
};
const report = {
  prepared: null,
  armed: null,
  held: null,
  group: { name: 'g', epoch: 1, rank: 0, state: 'open', size: 2 },
};

const clients: Readonly<Record<string, ClientCase>> = {
  'agent, call': createCase(
    openPlain,
    async (adapter) => toAdapterVerdict(await adapter.run(createExchange())),
    { paid: 1 },
    { takesUnframed: true },
  ),
  'agent, order': {
    body: { paid: 1 },
    takesUnframed: true,
    ask: async (url) => {
      const end = await sendOrder({
        url,
        order: 'o-1',
        body: Buffer.from('{}'),
        caller: 'h1/i1',
        claim: () => true,
        hasPaused,
        signal: AbortSignal.timeout(TIMEOUT_MS),
      });
      if (end.kind === 'never-sent' || end.outcome.state === 'not-run') return 'not run';
      return end.outcome.state === 'done' ? 'whole' : 'lost';
    },
  },
  'agent, probe of a service': createCase(
    openPlain,
    async (adapter) => ((await adapter.prove(TIMEOUT_MS)) ? 'whole' : 'lost'),
    '',
    { needsHeadOnly: true },
  ),
  'agent, tokens': createCase(
    createEngineAdapter,
    async (adapter) => toAdapterVerdict(await adapter.run(createExchange())),
    tokenLines,
    { endMarker: tokenLines },
  ),
  'agent, load of an engine': createCase(
    createEngineAdapter,
    async (adapter) => ((await adapter.readLoad(TIMEOUT_MS)) === undefined ? 'lost' : 'whole'),
    { running: 0, steps: 1 },
  ),
  'agent, probe of an engine': createCase(
    createEngineAdapter,
    async (adapter) => ((await adapter.prove(TIMEOUT_MS)) ? 'whole' : 'lost'),
    tokenLines,
  ),
  'caller client, chat': createCase(
    openCaller,
    async (client) => toVerdict(await client.sendChat(chat)),
    { choices: [{ message: { content: 'a' }, finish_reason: 'stop' }] },
  ),
  'caller client, streamed chat': createCase(
    openCaller,
    async (client) => toVerdict(await client.sendStreamedChat(chat, () => undefined)),
    'data: {"choices":[{"delta":{"content":"a"}}]}\n\ndata: [DONE]\n\n',
    { endMarker: '[DONE]\n' },
  ),
  'caller client, call': createCase(
    openCaller,
    async (client) => toVerdict(await client.sendCall('s', {})),
    { paid: 1 },
  ),
  'caller client, slots': createCase(
    openCaller,
    async (client) => toVerdict(await client.reserveSlots('s', 1)),
    { ids: ['ord_1'], expires_in_ms: 60_000 },
  ),
  'caller client, order': createCase(
    openCaller,
    async (client) => {
      const end = await client.deliverOrder('s', 'ord_1', {});
      if (end.isErr() || end.value.state === 'not-run') return 'not run';
      return end.value.state === 'done' ? 'whole' : 'lost';
    },
    outcome,
  ),
  'caller client, state of an order': createCase(
    openCaller,
    async (client) => toVerdict(await client.readOrder('s', 'ord_1')),
    outcome,
  ),
  'caller client, cancellation': createCase(
    openCaller,
    async (client) => toVerdict(await client.cancelOrder('s', 'ord_1')),
    { ...outcome, state: 'not-run' },
  ),
  'store client, configuration': createCase(
    openStore,
    async (client) => toVerdict(await client.readConfiguration(undefined)),
    { items: [configuration], truncated: false },
  ),
  'store client, upstreams': createCase(
    openStore,
    async (client) => toVerdict(await client.readUpstreams()),
    { items: [], truncated: false },
  ),
  "ranker, its engine's report": createCase(
    openRank,
    async (client) => toVerdict(await client.readReport()),
    report,
  ),
  'ranker, selections': createCase(
    openRank,
    async (client) => toVerdict(await client.readSelectionCounts()),
    { epoch: 1, counts: [] },
  ),
  'ranker, experts': createCase(openRank, async (client) => toVerdict(await client.readExperts()), {
    epoch: 1,
    map: { version: 1, experts: [] },
  }),
  'ranker, order': createCase(
    openRank,
    async (client) => {
      const end = await client.sendOrder({ kind: 'arm', version: 2, pass: 9 }, 1);
      if (end === 'refused') return 'refused';
      return end === 'unknown' ? 'lost' : 'whole';
    },
    {},
    { takesUnframed: true },
  ),
  'gateway, group of an engine': {
    body: report,
    ask: async (url) => {
      const read = await engineProbe.readGroup(new URL(url).host);
      if (read.isErr()) return 'lost';
      return read.value === undefined ? 'no group' : 'whole';
    },
  },
  'group member, state of the engine': createCase(
    openGroupEngine,
    async (client) => {
      await client.readState();
      return client.readMap() === undefined ? 'lost' : 'whole';
    },
    { version: 2, step: 1, incarnation: 0 },
  ),
  'group member, change of the map': createCase(
    openGroupEngine,
    async (client) => {
      client.setMap(2, 1, token);
      await waitUntil(
        'command answered',
        () => client.lastFailure !== undefined || client.readMap() !== undefined,
        { intervalMs: 1 },
      );
      // A client whose command was refused sends no further one.
      if (!client.setMap(3, 2, token)) return 'refused';
      return client.lastFailure === undefined ? 'whole' : 'lost';
    },
    { version: 2, step: 1, incarnation: 1 },
    { needsHeadOnly: true },
  ),
  'group member, load of weights': createCase(
    openGroupEngine,
    async (client) => ((await client.loadExperts(1, [], token)) ? 'whole' : 'lost'),
    {},
    { needsHeadOnly: true },
  ),
  'group member, load': createCase(
    openGroupEngine,
    async (client) => ((await client.readExpertLoad()) === undefined ? 'lost' : 'whole'),
    { load: [[1]] },
  ),
  'platform client, keys': createCase(
    openPlatform,
    async (client) => toVerdict(await client.listKeys('p', 0)),
    { revision: 1, keys: [] },
  ),
  'platform client, value': createCase(
    openPlatform,
    async (client) => toVerdict(await client.readValue('services/desk')),
    { key: 'services/desk', ticket: 1, state: null },
  ),
  'platform client, hosts': createCase(
    openPlatform,
    async (client) => toVerdict(await client.listHosts()),
    [],
  ),
  'command line, state of a process': {
    body: { state: 'ready' },
    ask: async (url) =>
      toVerdict(await fetchOperatorJson({ _: [], $0: '' }, new URL(url).host, '/dump')),
  },
};

/** Formats the heads to cut, by the framing that they state. */
const shapes: Readonly<Record<string, (requestId: string, length: number) => string>> = {
  length: (id, length) => formatHead(id, [`Content-Length: ${length}`, 'X-Note: ab']),
  chunks: (id) => formatHead(id, [CHUNKED, 'X-Note: ab']),
  'no length': (id) => formatHead(id, ['X-Note: ab', 'Connection: close']),
  refusal: (id) => formatHead(id, ['X-Not-Run: true', 'Content-Length: 0'], '503 Full'),
  conflict: (id) => formatHead(id, ['X-Note: ab', 'Content-Length: 0'], '409 Conflict'),
  'after a 102': (id, length) =>
    formatHead(id, [], '102 Processing') + formatHead(id, [`Content-Length: ${length}`]),
};

interface CutReply {
  readonly name: string;
  readonly ending: CutEnding;
  format(requestId: string): string;
}

/** Whether a cut body contains its end marker, which may be split between two chunks. */
function isWholeByMarker({ endMarker }: ClientCase, cut: string): boolean {
  const content = cut.replace(/(^|\r\n)[0-9a-f]+(;[^\r]*)?\r\n/g, '');
  return endMarker !== undefined && content.includes(endMarker);
}

const endingNames = Object.keys(cutEndings) as CutEnding[];

describe('clients of other processes whose answers stop inside their head or framing', function () {
  this.timeout(60_000);
  const servers: RawWorker[] = [];
  const replies: (CutReply | undefined)[] = [];
  before(async () => {
    for (let index = 0; index < SERVERS; index += 1) {
      const server = await startRawWorker(`s-${index}`, (socket, { requestId }) => {
        const reply = replies[index];
        if (reply !== undefined) cutEndings[reply.ending](socket, reply.format(requestId));
      });
      servers.push(server);
    }
  });
  after(async () => {
    for (const server of servers) await server.close();
  });

  /** Sends a request for each reply, and describes those of which the client makes something else than expected. */
  const findWrongVerdicts = async (
    client: ClientCase,
    cuts: readonly CutReply[],
    expected: Verdict,
  ): Promise<string[]> => {
    const findings: string[] = [];
    const idle = servers.map((_, index) => index);
    await runConcurrently(cuts.length, SERVERS, async (index) => {
      const cut = cuts[index]!;
      const server = idle.pop()!;
      replies[server] = cut;
      const verdict = await client.ask(servers[server]!.url);
      idle.push(server);
      if (verdict !== expected) findings.push(`${verdict}: ${cut.name}, ${cut.ending}`);
    });
    return findings.slice(0, MAX_REPORTED);
  };

  const createCuts = (texts: readonly string[], format: (id: string, index: number) => string) =>
    texts.map((text, index): CutReply => ({
      name: `cut ${index} after ${JSON.stringify(text.slice(-12))}`,
      ending: endingNames[index % endingNames.length]!,
      format: (id) => format(id, index),
    }));

  for (const [clientName, client] of Object.entries(clients)) {
    const text = typeof client.body === 'string' ? client.body : JSON.stringify(client.body);

    // Without this, a client that fails for another reason would pass the tests below.
    it(`receives complete answers; ${clientName}`, async () => {
      const encode: Readonly<Record<string, string>> = {
        chunks: text === '' ? LAST_CHUNK : formatChunk(text) + LAST_CHUNK,
      };
      const whole = ['length', 'chunks', 'after a 102'].map((shape): CutReply => ({
        name: shape,
        ending: 'end after 30 ms',
        format: (id) => (shapes[shape]?.(id, text.length) ?? '') + (encode[shape] ?? text),
      }));
      expect(await findWrongVerdicts(client, whole, 'whole')).to.deep.equal([]);
    });

    // Taken for an answer, it would be an empty result, a refusal of work that runs, or a list without entries.
    it(`guards against a cut head that counts as an answer; ${clientName}`, async () => {
      const cuts = Object.values(shapes).flatMap((format) =>
        createCuts(listHeadCuts(format(SAMPLE_ID, text.length)), (id, index) => {
          const ownCuts = listHeadCuts(format(id, text.length));
          return ownCuts[Math.min(index, ownCuts.length - 1)] ?? '';
        }),
      );
      expect(await findWrongVerdicts(client, cuts, 'lost')).to.deep.equal([]);
    });

    if (client.needsHeadOnly === true) continue;

    // The last chunk alone shows that a body in chunks is complete.
    it(`guards against a body in chunks that is cut and counts as whole; ${clientName}`, async () => {
      const half = Math.floor(text.length / 2);
      const first = text.slice(0, half);
      const encoded = `${first.length.toString(16)};x=y\r\n${first}\r\n${formatChunk(text.slice(half))}${TRAILERS}`;
      const beforeEnd = listPrefixes(encoded).filter((cut) => !isWholeByMarker(client, cut));
      const cuts = createCuts(beforeEnd, (id, index) =>
        formatHead(id, [CHUNKED]).concat(beforeEnd[index] ?? ''),
      );
      expect(await findWrongVerdicts(client, cuts, 'lost')).to.deep.equal([]);
    });

    if (client.takesUnframed === true) continue;

    // The end of the connection does not show whether such a body is complete.
    it(`guards against a body without a length that is cut and counts as whole; ${clientName}`, async () => {
      const bodies = listPrefixes(text).filter((cut) => !isWholeByMarker(client, cut));
      const cuts = createCuts(bodies, (id, index) =>
        formatHead(id, ['Connection: close']).concat(bodies[index] ?? ''),
      );
      expect(await findWrongVerdicts(client, cuts, 'lost')).to.deep.equal([]);
    });
  }
});
