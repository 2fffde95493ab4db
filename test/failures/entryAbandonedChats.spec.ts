import { expect } from 'chai';
import { request } from 'undici';
import type { CrowdKind } from '../support/callerCrowds.js';
import { startCrowd } from '../support/callerCrowds.js';
import type { Cluster } from '../support/cluster.js';
import { startCluster } from '../support/cluster.js';
import { buildDeployment, countPorts, getExampleToken } from '../support/deployment.js';
import { reduceOutline, unionOutline } from '../support/outlines.js';
import { reservePorts } from '../support/ports.js';
import { waitUntil } from '../support/waiting.js';

const SERVICE = 'relief-assistant';
const WORKSPACE = 'branch-ikeja';
const CHAT_PATH = '/v1/chat/completions';
const CONNECTIONS = 40;
/** Chats that the engine runs at once. */
const SLOTS = 16;
/** Requests of a connection that are in progress at once. */
const MAX_PER_CONNECTION = 8;
/** With it, eight chats take 20 s. */
const TOKENS_PER_SECOND = 200;
/** Far below the time that the chats take if they go on: each is complete, or past its time limit, after 30 s. */
const RELEASE_TIMEOUT_MS = 8_000;
const TEST_TIMEOUT_MS = 90_000;

/** What the callers send; the entry learns in different ways that they have left. */
const shapes: Readonly<Record<string, Shape>> = {
  'streams, as many as a connection may have in progress': {
    connections: CONNECTIONS,
    perConnection: 4,
    stream: true,
  },
  'completions, as many as a connection may have in progress': {
    connections: CONNECTIONS,
    perConnection: 4,
    stream: false,
  },
  'streams, more than a connection may have in progress': {
    connections: CONNECTIONS,
    perConnection: 200,
    stream: true,
  },
  // The connection is read no further, and nothing is written to it.
  'completions, more than a connection may have in progress': {
    connections: 1,
    perConnection: 200,
    stream: false,
  },
};

interface Shape {
  readonly connections: number;
  readonly perConnection: number;
  readonly stream: boolean;
}

function createChat(content: string, stream: boolean, maxTokens: number): string {
  const messages = [{ role: 'user', content }];
  return JSON.stringify({ model: SERVICE, messages, stream, max_tokens: maxTokens });
}

function createCrowdKind({ stream, connections, perConnection }: Shape): CrowdKind {
  return {
    connections,
    isReading: false,
    isClosed: false,
    *createWrites({ path, keyLines }) {
      const body = createChat('abandoned', stream, 512);
      const lines = [...keyLines, 'Host: app.example', `Content-Length: ${body.length}`];
      const text = `POST ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
      for (let index = 0; index < perConnection; index += 1) yield Buffer.from(text);
    },
  };
}

interface OpenChats {
  /** Chats that run at the engine. */
  readonly running: number;
  /** Attempts and requests that the entry counts as in progress. */
  readonly attempts: number;
  readonly requests: number;
}

async function countOpenChats(cluster: Cluster): Promise<OpenChats> {
  const [agent] = cluster.agents;
  const [entry] = cluster.entries;
  if (agent === undefined || entry === undefined) throw new Error('the cluster is not complete');
  const agentDump = await cluster.readOperator(agent.plan);
  const entryDump = await cluster.readOperator(entry.plan);
  const { running } = agentDump.requests as { running: number };
  return { running, attempts: Number(entryDump.attempts), requests: Number(entryDump.requests) };
}

async function startChatCluster(): Promise<Cluster> {
  const reduced = reduceOutline(unionOutline, { [SERVICE]: 1, 'payout-ledger': 0 });
  const outline = { ...reduced, entries: 1 };
  return startCluster(buildDeployment(outline, await reservePorts(countPorts(outline))), {
    engineArguments: ['--tokensPerSecond', String(TOKENS_PER_SECOND)],
  });
}

describe('chats whose callers have left an entry', () => {
  for (const [name, shape] of Object.entries(shapes)) {
    it(`guards against work that goes on for ${name}`, async () => {
      const cluster = await startChatCluster();
      try {
        const [entry] = cluster.entries;
        if (entry === undefined) throw new Error('the cluster has no entry');
        const authorization = `Bearer ${getExampleToken(WORKSPACE)}`;
        const crowd = startCrowd(createCrowdKind(shape), {
          url: entry.httpUrl,
          path: CHAT_PATH,
          largePath: CHAT_PATH,
          keyLines: [`Authorization: ${authorization}`],
          maxBodyBytes: 0,
        });
        await waitUntil('chats at the engine', async () => {
          const { running } = await countOpenChats(cluster);
          return running >= Math.min(SLOTS, shape.connections * MAX_PER_CONNECTION);
        });
        crowd.close();
        let open: OpenChats | undefined;
        await waitUntil(
          'abandoned chats released',
          async () => {
            open = await countOpenChats(cluster);
            return Object.values(open).every((count) => count === 0);
          },
          { timeoutMs: RELEASE_TIMEOUT_MS },
        ).catch(() => undefined);
        expect(open).to.deep.equal({ running: 0, attempts: 0, requests: 0 });
        const { statusCode, body } = await request(`${entry.httpUrl}${CHAT_PATH}`, {
          method: 'POST',
          headers: { authorization },
          body: createChat('ordinary', false, 4),
          signal: AbortSignal.timeout(RELEASE_TIMEOUT_MS),
        });
        await body.dump();
        expect(statusCode).to.equal(200);
      } finally {
        await cluster.stop();
      }
    }).timeout(TEST_TIMEOUT_MS);
  }
});
