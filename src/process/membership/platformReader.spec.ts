import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect } from 'chai';
import { listenOnLoopback } from '../../../test/standins/httpServer.js';
import { startPlatform } from '../../../test/standins/platform.js';
import { ConfigurationStore } from '../../version/configuration/configurationStore.js';
import { formatTicketKey } from '../../version/ticket/ticketSchema.js';
import { PlatformClient } from './platformClient.js';
import { PlatformReader } from './platformReader.js';

const createTicket = (ticket: number, id: string): object => ({
  ticket,
  objects: [{ kind: 'workspace', id, state: { tokenHashes: [], shares: {} } }],
});

describe('PlatformReader', () => {
  it('guards against missed changes after a stale response and repeated reads', async () => {
    const platform = await startPlatform();
    const client = new PlatformClient(platform.url, 1_000);
    const store = new ConfigurationStore();
    const reader = new PlatformReader(client, store);
    const { signal } = new AbortController();
    platform.putValue(formatTicketKey(1), createTicket(1, 'a'));
    platform.putValue(formatTicketKey(2), createTicket(2, 'a'));
    expect(await reader.readChangedKeys()).to.equal(true);
    platform.applyFaults({ stale: 1 });
    expect(await reader.watchOnce(20, signal)).to.equal(true);
    expect(await reader.readAllKeys()).to.equal(true);
    expect(client.calls.values).to.equal(2);
    platform.applyFaults({ stale: null });
    platform.putValue(formatTicketKey(3), createTicket(3, 'b'));
    expect(await reader.watchOnce(1_000, signal)).to.equal(true);
    expect(store.listObjects().map(({ ticket }) => ticket)).to.deep.equal([2, 3]);
    expect(reader.describe()).to.deep.include({ pending: 0, staleAnswers: 3 });
    client.close();
    await platform.close();
  });

  it('guards against an initial read of tickets already received from peers', async () => {
    const platform = await startPlatform();
    for (let ticket = 1; ticket <= 20; ticket += 1) {
      platform.putValue(formatTicketKey(ticket), createTicket(ticket, `w${ticket}`));
    }
    const client = new PlatformClient(platform.url, 1_000);
    const reader = new PlatformReader(client, new ConfigurationStore());
    expect(await reader.readNewerTickets(18)).to.equal(true);
    expect(client.calls.values).to.equal(2);
    expect(await reader.readAllKeys()).to.equal(true);
    expect(client.calls.values).to.equal(20);
    client.close();
    await platform.close();
  });

  // A refused value is not read again before its next change, such as a withdrawn token.
  it('guards against the loss of a change whose value was cut on its way', async () => {
    const value = JSON.stringify(createTicket(1, 'a'));
    let reads = 0;
    const server = createServer((request, response) => {
      if (request.url?.startsWith('/v1/list') === true) {
        const key = { key: formatTicketKey(1), revision: 1 };
        response.end(JSON.stringify({ revision: 1, keys: [key] }));
        return;
      }
      reads += 1;
      const body = reads === 1 ? value.slice(0, value.length / 2) : value;
      response.socket?.end(`HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n${body}`);
    });
    const client = new PlatformClient(`http://127.0.0.1:${await listenOnLoopback(server, 0)}`, 500);
    const store = new ConfigurationStore();
    const reader = new PlatformReader(client, store);
    await reader.readAllKeys();
    await reader.readAllKeys();
    client.close();
    server.closeAllConnections();
    server.close();
    expect(store.listObjects().map(({ ticket }) => ticket)).to.deep.equal([1]);
  });

  it('guards against a watch or a read that hangs forever', async () => {
    const server = createServer(() => undefined);
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const client = new PlatformClient(`http://127.0.0.1:${port}`, 50);
    const reader = new PlatformReader(client, new ConfigurationStore());
    const { signal } = new AbortController();
    expect(await reader.readChangedKeys()).to.equal(false);
    expect(await reader.watchOnce(10, signal)).to.equal(false);
    const controller = new AbortController();
    const watching = reader.watchOnce(60_000, controller.signal);
    controller.abort();
    expect(await watching).to.equal(false);
    client.close();
    server.closeAllConnections();
    server.close();
  });
});
