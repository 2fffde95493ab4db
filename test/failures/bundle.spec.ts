import { execFile } from 'node:child_process';
import { existsSync } from 'node:fs';
import { join } from 'node:path';
import { promisify } from 'node:util';
import { expect } from 'chai';
import { startGatewayFixture } from '../support/gatewayFixture.js';
import { startGatewayProgram, waitUntilProgramReady } from '../support/gatewayProgram.js';
import { rootDirectory } from '../support/processes.js';

const PROGRAM = 'target/parsleyfold.cjs';

describe('bundle of the deployment', () => {
  // The bundle replaces the index of the HTTP client, so an import that it does not export fails only there.
  it('guards against a bundle that can not be built, or whose gateway does not read the store', async () => {
    await promisify(execFile)('node', ['deploy/launch/bundle.mjs'], { cwd: rootDirectory });
    expect(existsSync(join(rootDirectory, PROGRAM))).to.equal(true);
    const fixture = await startGatewayFixture({ workers: 1, started: 0 });
    const gateway = await startGatewayProgram({
      storePort: fixture.store.port,
      stopLimitMs: 8_000,
      programFile: PROGRAM,
    });
    try {
      await waitUntilProgramReady(gateway);
    } finally {
      gateway.child.kill('SIGKILL');
      await gateway.ended;
      await fixture.close();
    }
  }).timeout(60_000);
});
