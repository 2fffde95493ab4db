import { expect } from 'chai';
import { createRouteServer, listenOnLoopback } from '../standins/httpServer.js';
import { startCluster } from './cluster.js';
import { buildDeployment, countPorts } from './deployment.js';
import { reduceOutline, unionOutline } from './outlines.js';
import { reservePorts } from './ports.js';
import { listProcesses } from './processes.js';

describe('clusters of processes', function () {
  this.timeout(60_000);

  // A start that failed left 13 processes running beside all later tests.
  it('guards against processes that run on after another process of their cluster has failed to start', async () => {
    const outline = reduceOutline(unionOutline, { 'relief-assistant': 3, 'payout-ledger': 0 });
    const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
    const [agent] = deployment.agents;
    const blocker = createRouteServer({});
    await listenOnLoopback(blocker, agent?.linkPort ?? 0);
    const before = new Set(listProcesses());
    const error: unknown = await startCluster(deployment).then(
      () => undefined,
      (reason: unknown) => reason,
    );
    blocker.close();
    expect(String(error)).to.include('before the ready line');
    expect(listProcesses().filter((id) => !before.has(id))).to.deep.equal([]);
  });
});
