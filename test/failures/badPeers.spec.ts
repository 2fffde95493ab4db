import { expect } from 'chai';
import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { encodeFrame } from '../../src/connection/frameCodec.js';
import { defaults } from '../../src/defaults.js';
import { getExampleToken } from '../support/deployment.js';
import type { EntryAgentPair } from '../support/pair.js';
import { startEntryAgentPair } from '../support/pair.js';
import { sendRaw } from '../support/rawPeer.js';

const IDLE_CONNECTIONS = 100;
const REQUEST_START = `POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nconnection: close\r\nauthorization: Bearer ${getExampleToken('branch')}\r\n`;

const badRequests = [
  {
    name: 'header too large',
    bytes: `${REQUEST_START}x-long: ${'x'.repeat(20_000)}\r\n\r\n`,
    status: 413,
  },
  { name: 'not HTTP', bytes: '\u0016\u0003\u0001garbage\r\n\r\n', status: 400 },
  {
    name: 'body too large',
    bytes: `${REQUEST_START}content-length: 99999999\r\n\r\n{`,
    status: 413,
  },
  { name: 'body is not JSON', bytes: `${REQUEST_START}content-length: 3\r\n\r\n{{{`, status: 400 },
] as const;

describe('malformed input from callers and peers', () => {
  let pair: EntryAgentPair;

  before(async () => {
    pair = await startEntryAgentPair();
  });
  afterEach(async () => {
    const result = await pair.chat('after bad peers');
    expect(result.verdict, result.code).to.equal('complete');
  });
  after(() => pair.close());

  for (const { name, bytes, status } of badRequests) {
    it(`guards against a response without an error code to a bad request: ${name}`, async () => {
      const { received } = await sendRaw(pair.entry.httpPort, bytes);
      const [head = '', body = ''] = received.toString().split('\r\n\r\n');
      expect(head).to.match(new RegExp(`^HTTP/1.1 ${status} `));
      const { error } = JSON.parse(body) as { error: { code: string } };
      expect(error.code).to.equal(status === 413 ? 'too_large' : 'bad_request');
    });
  }

  it('guards against idle connections and partial requests that block other callers', async () => {
    const sockets: Socket[] = [];
    for (let index = 0; index < IDLE_CONNECTIONS; index += 1) {
      const socket = connect(pair.entry.httpPort, '127.0.0.1');
      socket.on('error', () => undefined);
      if (index % 2 === 0) socket.write(`${REQUEST_START}content-length: 100\r\n\r\n{"model"`);
      sockets.push(socket);
    }
    const result = await pair.chat('alongside idle connections');
    expect(result.verdict, result.code).to.equal('complete');
    for (const socket of sockets) socket.destroy();
  });

  it('guards against malformed and missing hello messages on link ports', async () => {
    const hello = encodeFrame(pair.entry.createHello());
    const encodeTextFrame = (body: string): Buffer => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(body.length);
      return Buffer.concat([length, Buffer.from(body)]);
    };
    const inputs: Record<string, Uint8Array> = {
      'no hello': new Uint8Array(0),
      'truncated hello': hello.subarray(0, hello.length - 1),
      'oversized frame': Buffer.from([0xff, 0xff, 0xff, 0xff, 1]),
      'not CBOR': encodeTextFrame('\u00ff\u00ff\u0000'),
      HTTP: Buffer.from(REQUEST_START),
      'garbage after the hello': Buffer.concat([hello, encodeTextFrame('{"type":"request"}')]),
      'message other than hello': encodeFrame({ type: 'draining' }),
    };
    const timeoutMs = defaults.helloTimeoutMs + 2_000;
    const attempts = Object.entries(inputs).flatMap(([name, bytes]) =>
      [pair.entry.linkPort, pair.agent.linkPort].map(async (port) => {
        const { closed } = await sendRaw(port, bytes, { timeoutMs });
        expect(closed, name).to.equal(true);
      }),
    );
    await Promise.all(attempts);
  });
});
