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
    const text = [
      '[process]\nid=g-1\navailability_zone=a\nstop_limit_seconds=8',
      '[listen]\nfront=10.1.0.4:80\nready=10.1.0.4:81\nlinks=10.1.0.4:82',
      '[peers]\nseeds=10.1.0.4:82,10.2.0.4:82',
      '[store]\naddress=10.9.0.1:90\n[keys]\nproof_ms=5000',
      '[repeats]\nwindow_seconds=10\nratio=0.2\nextra=90\n[unknown]\nfield=1',
    ].join('\n');
    const read = readGatewaySettings(write(text));
    expect(read.isOk() && read.value).toMatchSnapshot();
  });
});
