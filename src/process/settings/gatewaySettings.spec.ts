import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from '../../../test/support/snapshot.js';
import { readGatewaySettings } from './gatewaySettings.js';
import { readRankerSettings } from './rankerSettings.js';

const write = (text: string): string => {
  const file = join(mkdtempSync(join(tmpdir(), 'settings-')), 'settings.ini');
  writeFileSync(file, text);
  return file;
};

const validSettings = [
  '[process]\nid=g-1\navailability_zone=a\nstop_limit_seconds=8',
  '[listen]\nfront=10.1.0.4:80\nready=10.1.0.4:81\nlinks=10.1.0.4:82',
  '[peers]\nseeds=10.1.0.4:82,10.2.0.4:82',
  '[store]\naddress=10.9.0.1:90\n[keys]\nproof_ms=5000',
  '[repeats]\nwindow_seconds=10\nratio=0.2\nextra=90',
].join('\n');

describe('settings of gateway and ranker', () => {
  it('guards against a start with missing or wrong settings', () => {
    const file = write('[process]\nid=g\n[listen]\nfront=nowhere\n[repeats]\nratio=much\n');
    const read = readGatewaySettings(file);
    const problems = read.isErr() ? read.error.map(({ key, message }) => `${key}: ${message}`) : [];
    const ranker = readRankerSettings(file);
    const others = ranker.isErr()
      ? ranker.error.map(({ key, message }) => `${key}: ${message}`)
      : [];
    expect({ gateway: problems, ranker: others }).toMatchSnapshot();
    expect(readGatewaySettings('/nowhere/settings.ini').isErr()).to.equal(true);
  });

  it('guards against settings that are read with another meaning', () => {
    const read = readGatewaySettings(write(`${validSettings}\n[unknown]\nfield=1`));
    expect(read.isOk() && read.value).toMatchSnapshot();
  });

  it('guards against more connections of callers than the host has descriptors for', () => {
    const host = '[host]\ndescriptors=300\nmemory_mb=400';
    const read = readGatewaySettings(write(`${validSettings}\n${host}`));
    expect(read.isOk() && read.value.callers).to.include({
      maxConnections: 50,
      maxHeldBytes: 40 * 1024 * 1024,
    });
    const refused = readGatewaySettings(
      write(`${validSettings}\n${host}\n[callers]\nmax_connections=101`),
    );
    expect(
      refused.isErr() && refused.error.map(({ key, message }) => `${key}: ${message}`),
    ).to.deep.equal([
      'callers.max_connections: expected at most 100, as the host has 300 descriptors',
    ]);
  });
});
