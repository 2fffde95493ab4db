import { expect } from 'chai';
import { openLink } from '../../src/connection/linkClient.js';
import type { TlsMaterial } from '../../src/connection/tlsOptions.js';
import { createCertificates } from '../support/certificates.js';
import type { EntryAgentPair } from '../support/pair.js';
import { startEntryAgentPair } from '../support/pair.js';
import { sendRaw } from '../support/rawPeer.js';

const OPERATOR_REQUEST = 'GET /healthz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n';
const RESPONSE_TIMEOUT_MS = 1_000;

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
