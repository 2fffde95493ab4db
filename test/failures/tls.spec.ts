import { connect } from 'node:net';
import { expect } from 'chai';
import { openLink } from '../../src/connection/linkClient.js';
import type { TlsMaterial } from '../../src/connection/tlsOptions.js';
import { createCertificates } from '../support/certificates.js';
import type { EntryAgentPair } from '../support/pair.js';
import { startEntryAgentPair } from '../support/pair.js';
import { sendRaw } from '../support/rawPeer.js';
import { waitUntil } from '../support/waiting.js';

const OPERATOR_REQUEST = 'GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n';
const RESPONSE_TIMEOUT_MS = 1_000;
/** Connections whose handshake may be incomplete at the same time. */
const MAX_HANDSHAKES = 64;
const SILENT_CONNECTIONS = 200;
const HANDSHAKES_TEST_TIMEOUT_MS = 60_000;

describe('mutual TLS', () => {
  let trusted: TlsMaterial;
  let foreign: TlsMaterial;
  let pair: EntryAgentPair;

  before(async () => {
    trusted = createCertificates('trusted');
    foreign = createCertificates('foreign');
    pair = await startEntryAgentPair(trusted);
  });
  after(() => pair.close());

  it('guards against daemons that do not serve over TLS', async () => {
    const result = await pair.chat('over TLS');
    expect(result.verdict, result.code).to.equal('complete');
  });

  it('guards against peers without a valid certificate on link and operator ports', async () => {
    const peers = {
      valid: trusted,
      foreign: { ...foreign, ca: trusted.ca },
      'no certificate': { ca: trusted.ca },
      plain: undefined,
    };
    const ports = {
      'entry link': pair.entry.linkPort,
      'agent link': pair.agent.linkPort,
      'entry operator': pair.entry.operatorPort,
      'agent operator': pair.agent.operatorPort,
    };
    const attempts = Object.entries(ports).flatMap(([portName, port]) =>
      Object.entries(peers).map(async ([peerName, tls]) => {
        // A link port sends its hello on connect; an operator port responds to a request.
        const bytes = portName.endsWith('link') ? '' : OPERATOR_REQUEST;
        const options = { timeoutMs: RESPONSE_TIMEOUT_MS, ...(tls === undefined ? {} : { tls }) };
        const { received } = await sendRaw(port, bytes, options);
        const text = received.toString('latin1');
        const isServed = text.includes('hello') || text.includes('200 OK');
        expect(isServed, `${peerName} at ${portName}`).to.equal(peerName === 'valid');
      }),
    );
    await Promise.all(attempts);
  });

  it('guards against many connections that never complete a handshake, at link and operator ports', async () => {
    // A link port sends its hello on connect; an operator port responds to a request.
    const ports = [
      [pair.entry.linkPort, ''],
      [pair.agent.linkPort, ''],
      [pair.entry.operatorPort, OPERATOR_REQUEST],
      [pair.agent.operatorPort, OPERATOR_REQUEST],
    ] as const;
    const checkPort = async (port: number, bytes: string): Promise<void> => {
      const crowd = Array.from({ length: SILENT_CONNECTIONS }, () =>
        connect(port, '127.0.0.1')
          .on('error', () => undefined)
          .resume(),
      );
      const countOpen = (): number => crowd.filter(({ closed }) => !closed).length;
      try {
        await waitUntil('connections beyond the limit closed', () => countOpen() <= MAX_HANDSHAKES);
        const { received } = await sendRaw(port, bytes, {
          timeoutMs: RESPONSE_TIMEOUT_MS,
          tls: trusted,
        });
        expect(received.length, `valid peer at port ${port}`).to.be.greaterThan(0);
        await waitUntil('silent connections closed', () => countOpen() === 0);
      } finally {
        for (const socket of crowd) socket.destroy();
      }
    };
    await Promise.all(ports.map(([port, bytes]) => checkPort(port, bytes)));
  }).timeout(HANDSHAKES_TEST_TIMEOUT_MS);

  it('guards against links to an agent whose certificate is signed by another authority', async () => {
    const opened = await openLink({
      address: `127.0.0.1:${pair.agent.linkPort}`,
      self: () => pair.entry.createHello(),
      handlers: {},
      tls: foreign,
    });
    expect(opened.isErr()).to.equal(true);
  });
});
