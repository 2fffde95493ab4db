import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { reservePorts } from '../../../test/support/ports.js';
import { waitMs, waitUntil } from '../../../test/support/waiting.js';
import { LinkServer } from '../../connection/linkServer.js';
import type { Hello } from '../../connection/peerLink.js';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { ConfigurationSource } from '../gateway/types.js';
import { createLogger } from '../logging.js';
import { Metrics } from '../metrics.js';
import type { RankerSettings } from '../settings/rankerSettings.js';
import { GroupLinks } from './groupLinks.js';
import { ROSTER_FEATURE } from './groupRoster.js';
import { GroupView } from './groupView.js';

const service = toId<ServiceId>('chat');
const GROUP_SIZE = 24;

const experts = {
  sets: 16,
  expertsPerSet: 96,
  slotsPerRank: 5,
  maxLoadsPerLayer: 2,
  expertMegabytes: 420,
  transferMegabitsPerSecond: 44_000,
  expertShare: 0.85,
};

describe('links of a coordinator', () => {
  it('guards against ranks that register late after a loss of power and are not linked for seconds', async () => {
    const controller = new AbortController();
    let listings = 0;
    let endWait = (): void => undefined;
    const isReadAgain = new Promise<void>((resolve) => (endWait = resolve));
    const services = new Map([[service, { id: service, engine: { experts } }]]);
    const configuration = { routes: [], services };
    const source = {
      readConfiguration: () => Promise.resolve(Ok({ era: 0, revision: 1, configuration })),
      readUpstreams: () => {
        listings += 1;
        if (listings === 2) endWait();
        return Promise.resolve(Ok({ era: 0, upstreams: [], unreadable: 0 }));
      },
    } as unknown as ConfigurationSource;
    const links = new GroupLinks({
      view: new GroupView('g', GROUP_SIZE),
      settings: { service, linkAddress: '127.0.0.1:1' } as RankerSettings,
      source,
      logger: createLogger('test'),
      metrics: new Metrics(),
      signal: controller.signal,
      self: () => {
        throw new Error('no link is opened');
      },
    });
    const refreshing = links.refresh();
    await isReadAgain;
    controller.abort();
    await refreshing;
    expect(links.layout?.layers).to.equal(experts.sets);
  }).timeout(3_000);

  // Ranks index lists, so a number that is too large took all memory.
  it('guards against a rank whose number is too large for its group', async () => {
    const [port = 0] = await reservePorts(1);
    const controller = new AbortController();
    const createHello = (processId: string, host: string): Hello => ({
      type: 'hello',
      version: 1,
      role: 'ranker',
      processId,
      incarnation: processId,
      host,
      availabilityZone: 'a',
      upstreams: [],
      features: [ROSTER_FEATURE],
    });
    const report = { group: 'g', epoch: 1, size: 2, isOpen: true, startedAt: 1, pass: 1, map: 0 };
    const server = new LinkServer({
      host: '127.0.0.2',
      port,
      self: () => createHello('odd', `127.0.0.2:${port}`),
      handlers: {},
      onLink: (link) => {
        for (const rank of [1e9, 2, 1]) {
          link.send({ type: 'rankStatus', report: { ...report, rank, running: 0, queued: 0 } });
        }
      },
    });
    await server.listen();
    const addresses = ['127.0.0.1:9', '127.0.0.2:9'];
    const source = {
      readConfiguration: () => Promise.resolve(Err({ code: 'refused', message: '' })),
      readUpstreams: () => {
        const upstreams = addresses.map((address) => ({ service, address }));
        return Promise.resolve(Ok({ era: 0, upstreams, unreadable: 0 }));
      },
    } as unknown as ConfigurationSource;
    const links = new GroupLinks({
      view: new GroupView('g', 2),
      settings: { service, linkAddress: `127.0.0.1:${port}` } as RankerSettings,
      source,
      logger: createLogger('test'),
      metrics: new Metrics(),
      signal: controller.signal,
      self: () => createHello('own', `127.0.0.1:${port}`),
    });
    const refreshing = links.refresh();
    await waitUntil('status received', () => links.view.ranks.size > 0);
    await waitMs(100);
    controller.abort();
    server.close();
    await refreshing;
    expect([...links.view.ranks.keys()]).to.deep.equal([1]);
  });
});
