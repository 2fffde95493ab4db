import { expect } from 'chai';
import fc from 'fast-check';
import { decodeConfiguration } from '../../platform/decodeConfiguration.js';
import { decodeUpstream } from '../../platform/decodeUpstream.js';
import { headerCodec } from '../../platform/headerCodec.js';
import { decodeBody, FrameReader } from '../../src/connection/frameCodec.js';
import { defaults } from '../../src/defaults.js';
import { decodePlacement } from '../../src/process/ranker/placementCodec.js';
import { EventSplitter } from '../../src/request/forwarding/eventSplitter.js';
import type { RawWorker } from '../standins/rawWorker.js';
import { startRawWorker } from '../standins/rawWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';

/** `FUZZ_SEED` and `FUZZ_RUNS` select a longer run by hand. */
const SEED = Number(process.env.FUZZ_SEED ?? 32);
const RUNS = Number(process.env.FUZZ_RUNS ?? 300);
const options = { seed: SEED, numRuns: RUNS };

const bytes = fc.uint8Array({ maxLength: 200 });
const text = fc.string({ maxLength: 200, unit: 'binary' });
const json = fc.json({ maxDepth: 4 });

/** A configuration with one of its values replaced by any JSON value. */
const brokenConfiguration = fc
  .tuple(
    fc.constantFrom('version', 'routes', 'services', 'limits', 'tenants'),
    fc.jsonValue({ maxDepth: 3 }),
  )
  .map(([field, value]) =>
    JSON.stringify({
      version: 1,
      routes: [{ name: 'r', host: 'h', prefix: '/a/', service: 's', routeType: 'idempotent' }],
      services: [{ name: 's', healthPath: '/h', maxConns: 1 }],
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
      [field]: value,
    }),
  );

describe('fuzzed bytes from outside', () => {
  const decoders: Readonly<Record<string, () => void>> = {
    configuration: () => {
      fc.assert(
        fc.property(fc.oneof(text, json, brokenConfiguration), (document) => {
          decodeConfiguration(document);
        }),
        options,
      );
    },
    upstream: () => {
      fc.assert(
        fc.property(fc.oneof(text, json), (entry) => {
          decodeUpstream('i-1', entry);
        }),
        options,
      );
    },
    'request headers': () => {
      const header = fc.constantFrom('Token-Usage', 'Prefix-Hash', 'Deadline-Ms', 'Last-Event-Id');
      fc.assert(
        fc.property(fc.array(fc.oneof(header, text), { maxLength: 12 }), (rawHeaders) => {
          headerCodec.decodeRequest(rawHeaders);
        }),
        options,
      );
    },
    'response headers': () => {
      const name = fc.constantFrom('server-limit', 'content-length', 'transfer-encoding', 'x');
      fc.assert(
        fc.property(fc.nat(999), fc.dictionary(name, fc.oneof(text, fc.array(text))), (...args) => {
          headerCodec.decodeResponse(...args);
        }),
        options,
      );
    },
    frame: () => {
      fc.assert(
        fc.property(bytes, (body) => {
          decodeBody(body);
          new FrameReader(defaults.maxFrameBytes).readMessages(Buffer.from(body));
        }),
        options,
      );
    },
    'expert map': () => {
      fc.assert(
        fc.property(bytes, fc.boolean(), (encoded, hasBase) => {
          decodePlacement(encoded, hasBase ? [[[0], [1]]] : undefined);
        }),
        options,
      );
    },
    events: () => {
      fc.assert(
        fc.property(fc.array(bytes, { maxLength: 8 }), (reads) => {
          const splitter = new EventSplitter();
          let size = splitter.partialEventBytes;
          for (const read of reads) {
            for (const event of splitter.readEvents(Buffer.from(read))) size += event.bytes.length;
          }
          const received = reads.reduce((sum, read) => sum + read.length, 0);
          expect(size + splitter.partialEventBytes).to.equal(received);
        }),
        options,
      );
    },
  };
  for (const [name, run] of Object.entries(decoders)) {
    it(`guards against an exception from malformed input; decoder: ${name}; seed ${SEED}`, run);
  }
});

describe('fuzzed responses of an upstream', () => {
  let fixture: GatewayFixture;
  let worker: RawWorker;
  afterEach(async () => {
    await fixture.close();
    await worker.close();
  });

  // An exception within the HTTP parser would end the process, and with it this test.
  it(`guards against a gateway that a malformed response ends; seed ${SEED}`, async () => {
    const pieces = fc.constantFrom(
      'HTTP/1.1 200 OK\r\n',
      'HTTP/1.1 103 Early Hints\r\n',
      'HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n',
      'HTTP/1.0 99 \r\n',
      'Content-Length: 5\r\n',
      'Content-Length: -1\r\n',
      'Transfer-Encoding: chunked\r\n',
      'Transfer-Encoding: chunked, gzip\r\n',
      'Content-Type: text/event-stream\r\n',
      'Server-Seal: s\r\n',
      '\r\n',
      '5\r\nhello\r\n',
      'fffffffff\r\n',
      '0\r\n\r\n',
      'id: 1\ndata: a\n\n',
      '\0\0\0',
    );
    const response = fc.array(fc.oneof({ weight: 8, arbitrary: pieces }, text), {
      maxLength: 12,
    });
    const responses = fc.sample(response, { seed: SEED, numRuns: 100 });
    worker = await startRawWorker('i-a', (socket, { index, requestId }) => {
      const parts = responses[index % responses.length] ?? [];
      const head = index % 3 === 0 ? `HTTP/1.1 200 OK\r\nRequest-Id: ${requestId}\r\n` : '';
      socket.end(head + parts.join(''), 'latin1');
    });
    fixture = await startGatewayFixture({ workers: 0, ownWorkers: [worker] });
    const url = fixture.urls[0] ?? '';
    for (let index = 0; index < responses.length; index += 1) {
      const path = index % 2 === 0 ? '/pay/a' : '/talk/a';
      const answer = await callGateway(url, path).catch(() => undefined);
      // A success needs a signature and a complete body.
      if (answer?.status === 200 && answer.isComplete) {
        expect(answer.headers['server-seal']).to.not.equal(undefined);
      }
    }
  }).timeout(30_000);
});
