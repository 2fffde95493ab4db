import { expect } from 'chai';
import { once } from 'node:events';
import { readFileSync } from 'node:fs';
import { connect } from 'node:net';
import { startCluster } from './cluster.js';
import { buildDeployment, countPorts } from './deployment.js';
import { reduceOutline, unionOutline } from './outlines.js';
import { reservePorts } from './ports.js';
import { sendSignalTwice } from './processes.js';
import { waitMs, waitUntil } from './waiting.js';

const PAUSE_MS = 400;

/** The state follows the name of the program, which is in brackets. */
function readState(pid: number): string {
  return /\) (\S)/.exec(readFileSync(`/proc/${pid}/stat`, 'utf8'))?.[1] ?? '';
}

describe('signals to a process of a test', () => {
  // The shutdown proof sent its second signal after a fixed time, and judged an entry that had received one.
  it('guards against a second signal that the kernel merges with the first one while the process does not run', async () => {
    const outline = reduceOutline(unionOutline, { 'relief-assistant': 1, 'payout-ledger': 0 });
    const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
    const cluster = await startCluster(deployment);
    try {
      const { plan, process: entry } = cluster.entries[0]!;
      // An open connection of a caller makes the drain outlast the first signal.
      const caller = connect(plan.httpPort, '127.0.0.1');
      caller.on('error', () => undefined);
      await once(caller, 'connect');
      entry.send('SIGSTOP');
      await waitUntil('the entry is paused', () => readState(entry.pid) === 'T');
      const resumed = waitMs(PAUSE_MS).then(() => {
        entry.send('SIGCONT');
      });
      const code = await sendSignalTwice(entry);
      await resumed;
      caller.destroy();
      expect(code).to.equal(1);
    } finally {
      await cluster.stop();
    }
  });
});
