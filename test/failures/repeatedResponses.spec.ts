import { expect } from 'chai';
import { RankEngineClient } from '../../platform/rankEngineClient.js';
import { StoreClient } from '../../platform/storeClient.js';
import { CallerClient } from '../../src/client/callerClient.js';
import { createEngineAdapter } from '../../src/process/agent/upstreams/engine.js';
import type { ExchangeResult } from '../../src/process/agent/upstreams/types.js';
import { EngineClient } from '../../src/process/group/engineClient.js';
import { PlatformClient } from '../../src/process/membership/platformClient.js';
import type { RepeatingServer } from '../standins/repeatingServer.js';
import { formatResponse, startRepeatingServer } from '../standins/repeatingServer.js';
import { waitUntil } from '../support/waiting.js';

const limits = { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 };
const token = { incarnation: 1, fencing: 1 };

// Each server writes its last response on a connection once more where the response to the next request is due.
describe('responses that are written once more on a kept connection', () => {
  let server: RepeatingServer;
  afterEach(() => server.close());

  const encodeConfiguration = (version: number): string => {
    const value = JSON.stringify({ version, routes: [], services: [], limits });
    const item = { key: 'op/config', value: Buffer.from(value).toString('base64') };
    const items = [{ ...item, revision: version, created: 1, lease: 0 }];
    return formatResponse(200, { items, truncated: false, storeRevision: version });
  };

  // A proof of keys that rests on an earlier read dates from before it.
  it('guards against an earlier answer of the store that counts as that to a later read', async () => {
    server = await startRepeatingServer((_request, index) => encodeConfiguration(index + 1));
    const client = new StoreClient(`127.0.0.1:${server.port}`);
    const revisions: unknown[] = [];
    for (let read = 0; read < 4; read += 1) {
      const configuration = await client.readConfiguration(undefined);
      revisions.push(configuration.map(({ revision }) => revision).unwrapOr('none'));
    }
    client.close();
    expect(revisions).to.deep.equal([1, 2, 3, 4]);
  });

  it('guards against an earlier refusal of the store that counts as that of a later read', async () => {
    server = await startRepeatingServer((_request, index) =>
      index === 0 ? formatResponse(503, {}) : encodeConfiguration(index),
    );
    const client = new StoreClient(`127.0.0.1:${server.port}`);
    expect((await client.readConfiguration(undefined)).isErr()).to.equal(true);
    expect((await client.readConfiguration(undefined)).isOk()).to.equal(true);
    client.close();
  });

  // A change of the configuration whose key is read with the value of another one is lost until its next change.
  it('guards against an earlier value of the platform that counts as that of a later key', async () => {
    server = await startRepeatingServer(({ path }) => formatResponse(200, { path }));
    const client = new PlatformClient(server.url, 1_000);
    const values: string[] = [];
    for (const key of ['tickets/1', 'tickets/2', 'tickets/3']) {
      values.push((await client.readValue(key)).unwrapOr('none'));
    }
    client.close();
    const expected = ['tickets/1', 'tickets/2', 'tickets/3'].map((key) =>
      JSON.stringify({ path: `/v1/values/${key}` }),
    );
    expect(values).to.deep.equal(expected);
  });

  // An order that counts as refused on the word of another one is not undone.
  it('guards against an earlier refusal without an id that counts as that of a later order to the engine', async () => {
    const refusal = formatResponse(409, {});
    server = await startRepeatingServer(
      ({ path, headers }, index) => {
        const id = [`Request-Id: ${headers.get('request-id') ?? ''}`];
        if (path !== '/order') return formatResponse(200, { epoch: 1, counts: [] }, id);
        return index === 1 ? refusal : formatResponse(202, {}, id);
      },
      (response) => response === refusal,
    );
    const client = new RankEngineClient(`127.0.0.1:${server.port}`);
    expect((await client.readSelectionCounts()).isOk()).to.equal(true);
    await client.sendOrder({ kind: 'arm', version: 2, pass: 9 }, 1);
    expect(await client.sendOrder({ kind: 'arm', version: 3, pass: 12 }, 1)).to.not.equal(
      'refused',
    );
    client.close();
  });

  // A chat that an engine runs must not count as refused, or it is sent to a second one.
  it('guards against an earlier refusal that counts as that of a chat which the engine runs', async () => {
    const tokens = [
      { index: 0, token: 'a' },
      { done: true, finish_reason: 'stop', prompt_tokens: 1 },
    ];
    const body = `${tokens.map((line) => JSON.stringify(line)).join('\n')}\n`;
    server = await startRepeatingServer((_request, index) =>
      index === 0
        ? formatResponse(503, {})
        : `HTTP/1.1 200 OK\r\nContent-Length: ${body.length}\r\n\r\n${body}`,
    );
    const adapter = createEngineAdapter(server.url);
    const run = (id: string): Promise<ExchangeResult> =>
      adapter.run({
        id,
        body: Buffer.from('{"prompt":"p"}'),
        resumeAfter: 0,
        resumeText: '',
        priority: 1,
        maxOutputTokens: 4,
        signal: AbortSignal.timeout(2_000),
        onTokens: () => undefined,
      });
    expect(await run('c-1')).to.include({ kind: 'failed', code: 'upstream_refused' });
    expect(await run('c-2')).to.include({ kind: 'done' });
    expect(await run('c-3')).to.include({ kind: 'done' });
    await adapter.close();
  });

  it('guards against an earlier conflict that counts as that of a later command of a group', async () => {
    server = await startRepeatingServer(({ method, body }) => {
      if (method === 'GET') return formatResponse(200, { version: 2, step: 1, incarnation: 2 });
      return formatResponse(body.includes('"version":1,') ? 409 : 200, {});
    });
    const client = new EngineClient(server.url, 'checked');
    const countCommands = (): number =>
      server.requests.filter(({ method }) => method === 'POST').length;
    client.setMap(1, 4, token);
    await waitUntil('first command refused', () => client.lastFailure !== undefined);
    client.reset();
    const second = { ...token, incarnation: 2 };
    expect(client.setMap(2, 5, second)).to.equal(true);
    await waitUntil('second command sent', () => countCommands() === 2);
    await waitUntil('state read', () => client.readMap() !== undefined);
    expect(client.setMap(3, 6, second)).to.equal(true);
    await client.close();
  });

  // The caller of an order that runs must not be told that it was refused.
  for (const status of [400, 409]) {
    it(`guards against an earlier refusal that counts as that of an order which runs; status ${status}`, async () => {
      server = await startRepeatingServer(({ path }) => {
        const id = path.split('/').at(-1) ?? '';
        if (id === 'ord_1') {
          return formatResponse(status, { error: { code: 'bad_request', message: 'refused' } });
        }
        return formatResponse(200, { id, state: 'done', status: 200, body: {} });
      });
      const client = new CallerClient({ entries: [server.url], token: 't' });
      expect((await client.deliverOrder('s', 'ord_1', {})).isErr()).to.equal(true);
      const second = await client.deliverOrder('s', 'ord_2', {});
      expect(second.unwrap()).to.include({ order: 'ord_2', state: 'done' });
      await client.close();
    });
  }

  it('guards against the outcome of an earlier order that counts as that of a later one', async () => {
    server = await startRepeatingServer(({ path }, index) => {
      const id = path.split('/').at(-1) ?? '';
      // An entry that confuses the two on connections of their own.
      const told = index === 1 ? 'ord_1' : id;
      const state = told === 'ord_1' ? 'not-run' : 'done';
      return formatResponse(200, { id: told, state, status: 200, body: {} });
    });
    const client = new CallerClient({ entries: [server.url], token: 't', retryMinMs: 10 });
    expect((await client.deliverOrder('s', 'ord_1', {})).unwrap()).to.include({ state: 'not-run' });
    const second = await client.deliverOrder('s', 'ord_2', {});
    expect(second.unwrap()).to.include({ order: 'ord_2', state: 'done' });
    await client.close();
  });
});
