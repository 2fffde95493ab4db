import { spawn, spawnSync } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect } from 'chai';
import { reservePorts } from '../support/ports.js';
import { waitMs } from '../support/waiting.js';

const MAIN_ARGUMENTS = ['--import', 'tsx', 'platform/main.ts'];

const writeRankerSettings = async (): Promise<string> => {
  const [links, metrics] = await reservePorts(2);
  const file = join(mkdtempSync(join(tmpdir(), 'programs-')), 'ranker.ini');
  const text = [
    '[process]\nid=ranker-1\navailability_zone=a',
    `[listen]\nlinks=127.0.0.1:${links ?? 0}\nmetrics_port=${metrics ?? 0}`,
    '[store]\naddress=127.0.0.1:9\n[engine]\naddress=127.0.0.1:9\nservice=s',
  ];
  writeFileSync(file, text.join('\n'));
  return file;
};

describe('programs of the platform', function () {
  this.timeout(30_000);

  it('guards against a process that exits when its settings file is reloaded', async () => {
    const file = await writeRankerSettings();
    const child = spawn(process.execPath, [...MAIN_ARGUMENTS, 'ranker', file], { stdio: 'pipe' });
    let output = '';
    child.stdout.on('data', (data: Buffer) => (output += data.toString()));
    for (let attempts = 0; attempts < 200 && !output.includes('ranker started'); attempts += 1) {
      await waitMs(50);
    }
    child.kill('SIGHUP');
    for (let attempts = 0; attempts < 100 && !output.includes('read again'); attempts += 1)
      await waitMs(50);
    expect(child.exitCode).to.equal(null);
    expect(child.signalCode).to.equal(null);
    expect(output).to.include('settings file read again');
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill('SIGTERM');
    expect(await ended).to.equal(0);
  });

  it('guards against starting with an invalid command or invalid settings', async () => {
    const check = spawnSync(process.execPath, [
      ...MAIN_ARGUMENTS,
      'gateway',
      '/nowhere.ini',
      '--check',
    ]);
    expect(check.status).to.equal(2);
    expect(check.stderr.toString()).to.include('/nowhere.ini');
    expect(spawnSync(process.execPath, [...MAIN_ARGUMENTS, 'nothing']).status).to.equal(2);
    const file = await writeRankerSettings();
    expect(
      spawnSync(process.execPath, [...MAIN_ARGUMENTS, 'ranker', file, '--check']).status,
    ).to.equal(0);
  });
});
