import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { ConfigurationSource } from '../gateway/types.js';
import { createLogger } from '../logging.js';
import { Metrics } from '../metrics.js';
import type { RankerSettings } from '../settings/rankerSettings.js';
import { GroupLinks } from './groupLinks.js';
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
});
