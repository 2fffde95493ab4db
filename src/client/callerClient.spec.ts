import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import seedrandom from 'seedrandom';
import { request } from 'undici';
import { CallerClient } from './callerClient.js';

type PutFault = 'none' | 'reply-lost' | 'refused' | 'unknown-once' | 'bad-request';

/** Fake entry with one executor. It executes each order id at most once and can drop the reply afterwards. */
class FakeEntry {
  readonly runs: string[] = [];
  slots = 0;
  gets = 0;
  /** Number of GETs that get an `unknown` response, and whether these responses are final. */
  unknownGets = 0;
  final = false;
  faults: PutFault[] = [];
  private readonly server: Server;

  constructor() {
    this.server = createServer((incoming, response) => {
      incoming.resume().once('end', () => {
        this.answer(incoming, response);
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `http://127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.server.close();
    this.server.closeAllConnections();
  }

  private answer(incoming: IncomingMessage, response: ServerResponse): void {
    const id = (incoming.url ?? '').split('/').at(-1) ?? '';
    if (incoming.method === 'POST') {
      this.slots += 1;
      send(response, 201, { ids: [`ord_${this.slots}`], expires_in_ms: 60_000 });
      return;
    }
    if (incoming.method === 'GET') {
      this.gets += 1;
      if (this.gets <= this.unknownGets) {
        send(response, 200, { id, state: 'unknown', final: this.final });
        return;
      }
      const state = this.runs.includes(id) ? 'done' : 'open';
      send(response, 200, { id, state, status: 200, body: { executed: id } });
      return;
    }
    const fault = this.faults.shift() ?? 'none';
    if (fault === 'refused') {
      send(response, 503, { error: { code: 'draining', message: 'draining' } });
      return;
    }
    if (fault === 'bad-request') {
      send(response, 400, { error: { code: 'bad_request', message: 'bad' } });
      return;
    }
    if (!this.runs.includes(id)) this.runs.push(id);
    if (fault === 'reply-lost') incoming.socket.destroy();
    else if (fault === 'unknown-once') send(response, 200, { id, state: 'unknown' });
    else send(response, 200, { id, state: 'done', status: 200, body: { executed: id } });
  }
}

function send(response: ServerResponse, status: number, value: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(value));
}

/** Naive client: treats a lost reply as a failed order and places the order again under a new id. */
async function sendNaiveOrder(entry: string): Promise<void> {
  for (let attempt = 0; attempt < 3; attempt += 1) {
    try {
      const issued = await request(`${entry}/v1/services/ledger/orders`, { method: 'POST' });
      const { ids } = (await issued.body.json()) as { ids: string[] };
      const path = `${entry}/v1/services/ledger/orders/${ids[0] ?? ''}`;
      const reply = await request(path, { method: 'PUT', body: '{}' });
      await reply.body.dump();
      return;
    } catch {
      // The next attempt places a new order.
    }
  }
}

describe('CallerClient', () => {
  let entry: FakeEntry;
  let url: string;
  let client: CallerClient;

  beforeEach(async () => {
    entry = new FakeEntry();
    url = await entry.listen();
    client = new CallerClient({
      entries: [url],
      token: 'token',
      retryMinMs: 1,
      retryMaxMs: 5,
      settleLimitMs: 1_500,
      random: seedrandom('caller'),
    });
  });

  afterEach(async () => {
    await client.close();
    entry.close();
  });

  it('retries the PUT under the same id after lost replies (guards against using a second slot)', async () => {
    entry.faults = ['reply-lost', 'reply-lost', 'none'];
    const outcome = (await client.sendOrder('ledger', { amount: 5 })).unwrap();
    expect(outcome.state).to.equal('done');
    expect(outcome.answer).to.equal('{"executed":"ord_1"}');
    expect(entry.slots).to.equal(1);
    expect(entry.runs).to.deep.equal(['ord_1']);
  });

  it('executes twice with a naive client under the same fault (shows the fault that the retry guards against)', async () => {
    entry.faults = ['reply-lost', 'none'];
    await sendNaiveOrder(url);
    expect(entry.slots).to.equal(2);
    expect(entry.runs).to.deep.equal(['ord_1', 'ord_2']);
  });

  it('resolves an unknown outcome by GET (guards against reporting unknown when the outcome can be read)', async () => {
    entry.faults = ['unknown-once'];
    const outcome = (await client.sendOrder('ledger', {})).unwrap();
    expect(outcome.state).to.equal('done');
    expect(entry.gets).to.equal(1);
    expect(entry.slots).to.equal(1);
  });

  it('keeps polling while responses are not final (guards against reporting unknown too early)', async () => {
    entry.faults = ['unknown-once'];
    entry.unknownGets = 8;
    expect((await client.sendOrder('ledger', {})).unwrap().state).to.equal('done');
  });

  it('stops polling after final responses (guards against waiting for a dead executor)', async () => {
    entry.faults = ['unknown-once'];
    entry.unknownGets = 100;
    entry.final = true;
    expect((await client.sendOrder('ledger', {})).unwrap()).to.include({ state: 'unknown' });
    expect(entry.gets).to.be.lessThan(10);
  });

  it('sends the PUT again after a temporary refusal', async () => {
    entry.faults = ['refused', 'none'];
    expect((await client.sendOrder('ledger', {})).unwrap().state).to.equal('done');
    expect(entry.slots).to.equal(1);
  });

  it('reports unknown instead of an error when a permanent error follows a lost reply (guards against a false not-run)', async () => {
    entry.faults = ['reply-lost', 'bad-request'];
    const outcome = (await client.sendOrder('ledger', {})).unwrap();
    expect(outcome.state).to.equal('unknown');
    expect(entry.runs).to.deep.equal(['ord_1']);
  });

  it('uses each slot reserved in advance once', async () => {
    await client.reserveSlots('ledger', 1);
    await client.sendOrder('ledger', {});
    await client.sendOrder('ledger', {});
    expect(entry.runs).to.deep.equal(['ord_1', 'ord_2']);
  });

  it('retries through another entry when one is down', async () => {
    const second = new FakeEntry();
    const both = new CallerClient({
      entries: [await second.listen(), url],
      token: 'token',
      retryMinMs: 1,
      retryMaxMs: 5,
    });
    second.close();
    const outcome = (await both.sendOrder('ledger', {})).unwrap();
    expect(outcome.state).to.equal('done');
    await both.close();
  });

  it('reports a stream without its end marker as truncated (guards against accepting a truncated response as complete)', async () => {
    const server = createServer((_incoming, response) => {
      response.end('data: {"choices":[{"delta":{"content":"half"}}]}\n\n');
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const entries = [`http://127.0.0.1:${(server.address() as AddressInfo).port}`];
    const caller = new CallerClient({ entries, token: 'token' });
    const parts: string[] = [];
    const chat = { model: 'relief', messages: [{ role: 'user', content: 'hello' }] };
    const answer = await caller.sendStreamedChat(chat, (text) => parts.push(text));
    expect(parts).to.deep.equal(['half']);
    expect(answer.unwrapErr().code).to.equal('answer_cut');
    await caller.close();
    server.close();
  });
});
