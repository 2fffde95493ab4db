import { expect } from 'chai';
import { request } from 'undici';
import type { Cluster } from '../support/cluster.js';
import { startCluster } from '../support/cluster.js';
import { buildDeployment, countPorts, getExampleToken } from '../support/deployment.js';
import { reduceOutline, unionOutline } from '../support/outlines.js';
import { reservePorts } from '../support/ports.js';

const SERVICE = 'payout-ledger';
const WORKSPACE = 'branch-ikeja';
const SLOTS = 3;

describe('planned stops of agents', function () {
  this.timeout(60_000);
  let cluster: Cluster;
  afterEach(() => cluster.stop());

  const call = async (method: 'POST' | 'PUT', url: string, body: string): Promise<unknown> => {
    const headers = { authorization: `Bearer ${getExampleToken(WORKSPACE)}` };
    const response = await request(url, { method, headers, body });
    return response.body.json();
  };

  // The ids were `unknown` for good, and their callers had to settle by hand what had never run.
  it('guards against unknown outcomes of orders whose agent stopped before they were sent', async () => {
    const outline = reduceOutline(unionOutline, { 'relief-assistant': 1, [SERVICE]: 1 });
    cluster = await startCluster(buildDeployment(outline, await reservePorts(countPorts(outline))));
    const path = `/v1/services/${SERVICE}/orders`;
    const first = cluster.entries[0]!.httpUrl;
    const slots = (await call('POST', `${first}${path}`, `{"count":${SLOTS}}`)) as {
      ids: string[];
    };
    expect(slots.ids).to.have.length(SLOTS);
    const [executed = '', ...unsent] = slots.ids;
    expect(await call('PUT', `${first}${path}/${executed}`, '{}')).to.include({ state: 'done' });
    const agent = cluster.agents.find(({ plan }) => plan.service === SERVICE)!;
    agent.process.send('SIGTERM');
    expect(await agent.process.exited).to.equal(0);
    for (const { httpUrl } of cluster.entries) {
      for (const id of unsent)
        expect(await call('PUT', `${httpUrl}${path}/${id}`, '{}')).to.include({ state: 'not-run' });
      const late = await call('PUT', `${httpUrl}${path}/${executed}`, '{}');
      expect(late).to.include({ state: 'unknown' });
    }
    const executions = await request(`${agent.upstreamUrl}/executions`);
    expect(await executions.body.json()).to.have.length(1);
  });
});
