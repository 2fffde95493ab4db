import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'chai';
import type { ConfigurationNode } from '../../../test/standins/configurationNode.js';
import { startConfigurationNode } from '../../../test/standins/configurationNode.js';
import type { PlatformStandIn } from '../../../test/standins/platform.js';
import { startPlatform } from '../../../test/standins/platform.js';
import { formatTicketKey } from '../../version/ticket/ticketSchema.js';

const zones = ['ikeja', 'apapa', 'lekki'];
const timings = {
  digestIntervalMs: 150,
  readyTimeoutMs: 800,
  startJitterMs: 20,
  watchTimeoutMs: 300,
  platformTimeoutMs: 300,
  liveListIntervalMs: 200,
  reconcileIntervalMs: 50,
  unreachableTimeoutMs: 100,
};

const createTicket = (ticket: number, id: string, maxQueued: number): object => ({
  ticket,
  objects: [{ kind: 'workspace', id, state: { tokenHashes: [], shares: {}, maxQueued } }],
});

async function waitUntil(condition: () => boolean, description: string): Promise<void> {
  const until = Date.now() + 5_000;
  while (!condition()) {
    if (Date.now() > until) throw new Error(`timed out after 5 s waiting for: ${description}`);
    await sleep(10);
  }
}

describe('ConfigurationDistribution', () => {
  let platform: PlatformStandIn;
  let nodes: ConfigurationNode[];

  const startNode = async (index: number, platformUrl = platform.url) => {
    const node = await startConfigurationNode({
      host: `entry-${index}`,
      availabilityZone: zones[index % zones.length]!,
      platformUrl,
      seeds: nodes.slice(0, 3).map(({ address }) => address),
      timings,
    });
    nodes.push(node);
    return node;
  };
  const publish = (ticket: number, id: string, maxQueued: number): void => {
    platform.putValue(formatTicketKey(ticket), createTicket(ticket, id, maxQueued));
  };
  const publishHosts = (): void => {
    platform.putHosts(
      nodes.map(({ hello, address }) => {
        const { host, availabilityZone } = hello;
        return { host, availabilityZone, address, state: 'live', role: 'entry' };
      }),
    );
  };
  const isMergedEverywhere = (id: string, ticket: number): boolean =>
    nodes.every(({ store }) => store.getObject(`workspace/${id}`)?.ticket === ticket);

  beforeEach(async () => {
    platform = await startPlatform();
    nodes = [];
    publish(1, 'first', 1);
    for (let index = 0; index < 6; index += 1) await startNode(index);
    publishHosts();
    await waitUntil(() => isMergedEverywhere('first', 1), 'first ticket');
    await waitUntil(() => nodes.every((node) => node.distribution.isReady()), 'ready');
  });

  afterEach(async () => {
    for (const node of nodes) node.close();
    await platform.close();
  });

  it('guards against the loss of one of two tickets published out of order', async () => {
    publish(7, 'treasurer', 7);
    publish(6, 'officer', 6);
    await waitUntil(() => isMergedEverywhere('treasurer', 7), 'ticket 7');
    await waitUntil(() => isMergedEverywhere('officer', 6), 'ticket 6');
  });

  it('guards against a stale platform reverting a fresh process or its peers', async () => {
    publish(2, 'first', 2);
    await waitUntil(() => isMergedEverywhere('first', 2), 'ticket 2');
    platform.applyFaults({ stale: 1 });
    const fresh = await startNode(6);
    await waitUntil(() => fresh.distribution.isReady(), 'fresh process ready');
    expect(fresh.store.getObject('workspace/first')?.ticket).to.equal(2);
    await sleep(200);
    expect(isMergedEverywhere('first', 2)).to.equal(true);
  });

  it('guards against the loss of configuration while the platform is down', async () => {
    platform.applyFaults({ down: true });
    const fresh = await startNode(6);
    await waitUntil(() => fresh.distribution.isReady(), 'fresh process ready');
    expect(fresh.store.getObject('workspace/first')?.ticket).to.equal(1);
    expect(fresh.distribution.describe()).to.have.deep.property('missing', [
      'platform could not be read',
    ]);
    platform.applyFaults({ down: false });
    publish(3, 'first', 3);
    await waitUntil(() => isMergedEverywhere('first', 3), 'ticket 3 after the outage');
  });

  it('guards against undelivered tickets after reader failures and a platform hang', async () => {
    platform.applyFaults({ frozen: true });
    publish(4, 'first', 4);
    const readers = nodes.filter(
      (node) => (node.distribution.describe() as { reader: boolean }).reader,
    );
    for (const reader of readers.slice(0, 2)) {
      reader.close();
      nodes.splice(nodes.indexOf(reader), 1);
    }
    await sleep(100);
    platform.applyFaults({ frozen: false });
    await waitUntil(() => isMergedEverywhere('first', 4), 'ticket 4 after the freeze');
  });

  it('guards against an invalid ticket that replaces a valid one or is not reported', async () => {
    publish(5, 'first', -5);
    platform.putValue(formatTicketKey(8), 'no ticket');
    publish(9, 'last', 1);
    await waitUntil(() => isMergedEverywhere('last', 9), 'ticket 9');
    const render = (): string => JSON.stringify(nodes.map((node) => node.distribution.describe()));
    await waitUntil(() => render().includes('state.maxQueued'), 'report of the invalid state');
    await waitUntil(() => render().includes('tickets/0000000008'), 'report of the invalid value');
    expect(isMergedEverywhere('first', 1)).to.equal(true);
  });

  it('guards against outdated configuration without access to the platform', async () => {
    const isolated = await startNode(6, 'http://127.0.0.1:9');
    publish(10, 'first', 10);
    await waitUntil(() => isolated.store.getObject('workspace/first')?.ticket === 10, 'ticket 10');
  });
});
