import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { sendJson } from './respond.js';
import { writeChunk } from './writeChunk.js';

const TEXT = 'Arrears: ₦15,000 – 你好 🌾 café';

describe('HTTP responses', () => {
  let server: Server;
  let answer: (response: ServerResponse) => void;

  beforeEach(async () => {
    server = createServer((_request, response) => {
      answer(response);
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  });

  afterEach(() => {
    server.close();
    server.closeAllConnections();
  });

  const fetchResponse = () => fetch(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);

  it('guards against changed characters in small and large bodies', async () => {
    for (const repeats of [1, 1_000]) {
      const value = { text: TEXT.repeat(repeats) };
      answer = (response) => {
        sendJson(response, 200, value);
      };
      expect(await (await fetchResponse()).json()).to.deep.equal(value);
    }
  });

  it('guards against chunks with wrong lengths, out of order or after the end', async () => {
    const parts = Array.from({ length: 50 }, (_, index) => `${index}${TEXT.repeat(index % 3)};`);
    answer = (response) => {
      response.writeHead(200);
      response.write('first;');
      for (const part of parts) writeChunk(response, part);
      setImmediate(() => {
        for (const part of parts) writeChunk(response, part);
        response.end('last');
      });
    };
    const expected = `first;${parts.join('')}${parts.join('')}last`;
    expect(await (await fetchResponse()).text()).to.equal(expected);
    // The connection is kept alive; a surplus chunk would corrupt the next response.
    expect(await (await fetchResponse()).text()).to.equal(expected);
  });
});
