import type { AddressInfo } from 'node:net';
import type { Server } from 'node:http';
import { expect } from 'chai';
import seedrandom from 'seedrandom';
import { RawCaller } from '../../test/support/rawCaller.js';
import { waitMs, waitUntil } from '../../test/support/waiting.js';
import { createBoundedServer, getRequestReader } from './boundedServer.js';

const MAX_PER_CONNECTION = 3;
const SEEDS = 12;

interface Received {
  readonly path: string;
  readonly body: string;
}

interface Fixture {
  readonly url: string;
  readonly received: Received[];
  /** Largest number of requests in progress so far. */
  readonly mostInProgress: number;
  /** Paths whose requests are answered; all by default. */
  release(): void;
  close(): void;
}

/** Starts a server that answers with the path and body of each request, at once or after `release`. */
async function startFixture(isHolding: boolean): Promise<Fixture> {
  const received: Received[] = [];
  const held: (() => void)[] = [];
  let isReleased = !isHolding;
  let inProgress = 0;
  let mostInProgress = 0;
  const server: Server = createBoundedServer({
    requestLimits: { maxPerConnection: MAX_PER_CONNECTION, maxTotal: 100 },
    readClock: () => performance.now(),
  });
  server.on('request', (request, response) => {
    inProgress += 1;
    mostInProgress = Math.max(mostInProgress, inProgress);
    let body = '';
    request.setEncoding('latin1').on('data', (text: string) => {
      body += text;
    });
    request.on('end', () => {
      const path = request.url ?? '';
      received.push({ path, body });
      const answer = (): void => {
        inProgress -= 1;
        response.end(`${path}:${body.length};`);
      };
      if (isReleased) answer();
      else held.push(answer);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    received,
    get mostInProgress() {
      return mostInProgress;
    },
    release: () => {
      isReleased = true;
      for (const answer of held.splice(0)) answer();
    },
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

const contents = ['', 'x', 'a\r\n\r\nb', 'GET / HTTP/1.1\r\n\r\n', '\r\n\r\n', 'y'.repeat(70_000)];

/** Formats a request with one of the contents as its body, with a length or in chunks. */
function formatBody(path: string, body: string, chunkBytes: number): string {
  const head = `POST ${path} HTTP/1.1\r\nHost: a\r\n`;
  if (chunkBytes === 0) return `${head}Content-Length: ${body.length}\r\n\r\n${body}`;
  let chunks = '';
  for (let start = 0; start < body.length; start += chunkBytes) {
    const part = body.slice(start, start + chunkBytes);
    chunks += `${part.length.toString(16)}\r\n${part}\r\n`;
  }
  return `${head}Transfer-Encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
}

describe('requests sent ahead on a connection', () => {
  let fixture: Fixture;

  afterEach(() => {
    fixture.close();
  });

  it('guards against requests that are changed, lost or out of order', async () => {
    for (let seed = 1; seed <= SEEDS; seed += 1) {
      const random = seedrandom(String(seed));
      fixture = await startFixture(false);
      const sent: Received[] = [];
      let text = '';
      for (let index = 0; index < 30; index += 1) {
        const body = contents[Math.floor(random() * contents.length)] ?? '';
        const path = `/${index}`;
        sent.push({ path, body });
        const chunkBytes = random() < 0.5 ? 0 : 1 + Math.floor(random() * 5_000);
        text += formatBody(path, body, chunkBytes);
      }
      const caller = new RawCaller(fixture.url);
      while (text.length > 0) {
        const bytes = 1 + Math.floor(random() * (random() < 0.5 ? 40 : 100_000));
        caller.send(text.slice(0, bytes));
        text = text.slice(bytes);
        if (random() < 0.2) await waitMs(1);
      }
      await waitUntil(`all answered, seed ${seed}`, () => caller.received.includes('/29:'));
      caller.close();
      expect(fixture.received).to.deep.equal(sent);
      expect(fixture.mostInProgress).to.be.at.most(MAX_PER_CONNECTION);
      const answered = [...caller.received.matchAll(/(\/\d+):\d+;/g)].map(([, path]) => path);
      expect(answered).to.deep.equal(sent.map(({ path }) => path));
      fixture.close();
    }
  }).timeout(60_000);

  it('guards against more requests in progress than may be, and against reading further ahead', async () => {
    fixture = await startFixture(true);
    const caller = new RawCaller(fixture.url);
    caller.send(formatBody('/a', 'body', 0).repeat(200));
    await waitUntil('some received', () => fixture.received.length === MAX_PER_CONNECTION);
    await waitMs(50);
    expect(fixture.received).to.have.length(MAX_PER_CONNECTION);
    fixture.release();
    await waitUntil('all received', () => fixture.received.length === 200);
    caller.close();
  });

  it('guards against a caller that sends ahead and is not seen to leave', async () => {
    fixture = await startFixture(true);
    const caller = new RawCaller(fixture.url);
    caller.send(formatBody('/a', '', 0).repeat(5));
    await waitUntil('some received', () => fixture.received.length === MAX_PER_CONNECTION);
    caller.close();
    await waitMs(50);
    fixture.release();
    await waitMs(50);
    expect(fixture.received).to.have.length(MAX_PER_CONNECTION);
  });

  it('guards against a reader for a connection of another server', () => {
    const socket = new RawCaller(fixture.url);
    expect(() => getRequestReader(socket as never)).to.throw('not accepted by a bounded server');
    socket.close();
  });
});
