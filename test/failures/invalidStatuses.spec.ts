import { expect } from '../support/snapshot.js';
import type { RawWorker } from '../standins/rawWorker.js';
import { startRawWorker } from '../standins/rawWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';

/** Statuses that no HTTP response has, and informational ones as the last word of an upstream. */
const statuses = [
  '000',
  '001',
  '0',
  '099',
  '99',
  '2000',
  '-1',
  '+200',
  '2 0',
  'abc',
  '',
  '100',
  '102',
  '103',
  '199',
  '600',
  '601',
  '700',
  '799',
  '999',
  '1000',
];

/** Headers of a response beside its status. */
const shapes: Readonly<Record<string, (requestId: string) => string>> = {
  'signed, with a length': (id) => formatRest(id, ['Server-Seal: s', 'Content-Length: 2'], 'ok'),
  'signed, in chunks': (id) =>
    formatRest(id, ['Server-Seal: s', 'Transfer-Encoding: chunked'], '2\r\nok\r\n0\r\n\r\n'),
  'signed stream': (id) =>
    formatRest(
      id,
      ['Server-Seal: s', 'Content-Type: text/event-stream', 'Transfer-Encoding: chunked'],
      'e\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n',
    ),
  'not signed': (id) => formatRest(id, ['Content-Length: 2'], 'ok'),
  'without a length': (id) => formatRest(id, ['Server-Seal: s'], 'ok'),
};
const paths = ['/lookup/a', '/pay/a', '/chat/a', '/talk/a'];

function formatRest(requestId: string, headers: readonly string[], body: string): string {
  return [`Request-Id: ${requestId}`, ...headers, '', body].join('\r\n');
}

describe('statuses that are none', () => {
  let fixture: GatewayFixture | undefined;
  let workers: RawWorker[] = [];
  afterEach(async () => {
    await fixture?.close();
    for (const worker of workers) await worker.close();
    fixture = undefined;
    workers = [];
  });

  async function start(startLine: string, shape: (id: string) => string): Promise<void> {
    workers = await Promise.all(
      Array.from({ length: 4 }, (_, index) =>
        startRawWorker(`i-${index}`, (socket, { requestId }) => {
          socket.end(`HTTP/1.1${startLine}\r\n${shape(requestId)}`);
        }),
      ),
    );
    fixture = await startGatewayFixture({ workers: 0, ownWorkers: workers });
  }

  // A caller got a response with status 999 as the answer to its request.
  for (const status of statuses) {
    it(`guards against a status that reaches a caller as an answer; status "${status}"`, async () => {
      const answers: Record<string, number[]> = {};
      for (const [name, shape] of Object.entries(shapes)) {
        await start(status === '' ? '' : ` ${status} OK`, shape);
        const url = fixture?.urls[0] ?? '';
        const responses = await Promise.all(paths.map((path) => callGateway(url, path)));
        answers[name] = responses.map((response) => response.status);
        await fixture?.close();
        for (const worker of workers) await worker.close();
      }
      for (const codes of Object.values(answers))
        for (const code of codes) expect(code).to.be.oneOf([502, 503, 504]);
    });
  }

  // A caller took a part of a body, or an empty one, for the whole response.
  for (const status of ['206', '304']) {
    it(`guards against a response that the request did not ask for; status ${status}`, async () => {
      await start(` ${status} OK`, (id) =>
        formatRest(id, ['Server-Seal: s', 'Content-Length: 2'], 'ok'),
      );
      const url = fixture?.urls[0] ?? '';
      const responses = await Promise.all(paths.map((path) => callGateway(url, path)));
      for (const response of responses) expect(response.status).to.be.oneOf([502, 503, 504]);
    });
  }

  it('guards against a part of a body that does not reach a caller who asked for it', async () => {
    await start(' 206 Partial Content', (id) =>
      formatRest(id, ['Server-Seal: s', 'Content-Length: 2'], 'ok'),
    );
    const answer = await callGateway(fixture?.urls[0] ?? '', '/lookup/a', { range: 'bytes=0-1' });
    expect(answer).to.include({ status: 206, body: 'ok' });
  });

  // Callers take these statuses as the promise that the request has not run, and repeat it.
  for (const status of ['408', '429', '503']) {
    it(`guards against a refusal without the upstream's word that the request has not run; status ${status}`, async () => {
      await start(` ${status} Refused`, (id) =>
        formatRest(id, ['Server-Seal: s', 'Content-Length: 2'], 'no'),
      );
      const url = fixture?.urls[0] ?? '';
      const responses = await Promise.all(
        ['/pay/a', '/talk/a'].map((path) => callGateway(url, path)),
      );
      expect(responses.map((response) => response.status)).to.deep.equal([502, 502]);
    });
  }
});
