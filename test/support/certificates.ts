import { execFileSync } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import type { TlsMaterial } from '../../src/connection/tlsOptions.js';
import { readTlsMaterial } from '../../src/connection/tlsOptions.js';

const KEY = ['-newkey', 'ec', '-pkeyopt', 'ec_paramgen_curve:prime256v1', '-nodes'];

/**
 * Creates a certificate authority and one certificate signed by it, using the `openssl` program.
 *
 * @param name - Common name of the certificate authority
 * @returns Certificate, key and CA certificate
 */
export function createCertificates(name: string): TlsMaterial {
  const directory = mkdtempSync(join(tmpdir(), 'parsleyfold-tls-'));
  const run = (...args: string[]): void => {
    execFileSync('openssl', args, { cwd: directory, stdio: 'pipe' });
  };
  try {
    const authority = ['-keyout', 'ca.key', '-out', 'ca.pem', '-subj', `/CN=${name}`];
    run('req', '-x509', ...KEY, ...authority, '-days', '1');
    run('req', ...KEY, '-keyout', 'peer.key', '-out', 'peer.csr', '-subj', '/CN=peer');
    const signer = ['-CA', 'ca.pem', '-CAkey', 'ca.key', '-CAcreateserial'];
    run('x509', '-req', '-in', 'peer.csr', ...signer, '-out', 'peer.pem', '-days', '1');
    return readTlsMaterial({
      cert: join(directory, 'peer.pem'),
      key: join(directory, 'peer.key'),
      ca: join(directory, 'ca.pem'),
    });
  } finally {
    rmSync(directory, { recursive: true, force: true });
  }
}
