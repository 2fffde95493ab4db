import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { reservePorts } from '../../../test/support/ports.js';
import { waitUntil } from '../../../test/support/waiting.js';
import type { ServiceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { ConfigurationPosition, ConfigurationSource } from '../gateway/types.js';
import { createLogger } from '../logging.js';
import { RankerDaemon } from './rankerDaemon.js';
import type { RankEngine, RankReport } from './types.js';

const report: RankReport = {
  group: 'g',
  epoch: 1,
  rank: 0,
  size: 1,
  isOpen: true,
  startedAt: 1,
  pass: 1,
  map: 1,
  prepared: undefined,
  armed: undefined,
  held: undefined,
  running: 0,
  queued: 0,
};
const engine: RankEngine = {
  readReport: () => Promise.resolve(Ok(report)),
  readSelectionCounts: () => Promise.resolve(Err('unreachable')),
  readExperts: () => Promise.resolve(Err('unreachable')),
  sendOrder: () => Promise.resolve('unknown'),
};

describe('ranker', () => {
  // Guards against plans for an expert layout that was lost when the store was restored from an older copy.
  it('guards against a layout that is not read again because a restored store reuses its revision', async () => {
    const known: (ConfigurationPosition | undefined)[] = [];
    const source: ConfigurationSource = {
      readConfiguration: (position) => {
        known.push(position);
        return Promise.resolve(
          Ok({ era: 2, revision: 7, evacuated: [], unreadableEvacuations: 0 }),
        );
      },
      readUpstreams: () => Promise.resolve(Ok({ era: 2, upstreams: [], unreadable: 0 })),
      decodeDocument: () => Err({ code: 'malformed', message: '' }),
      close: () => undefined,
    };
    const [linkPort = 0] = await reservePorts(1);
    const daemon = new RankerDaemon(
      {
        processId: 'ranker-0',
        availabilityZone: 'a',
        logLevel: 'info',
        service: toId<ServiceId>('assistant'),
        linkAddress: `127.0.0.1:${linkPort}`,
        metricsPort: 0,
        storeAddress: '127.0.0.1:1',
        engineAddress: '127.0.0.1:1',
      },
      {
        engine,
        connectEngine: () => ({ ...engine, close: () => undefined }),
        source,
        logger: createLogger('ranker-0'),
      },
    );
    await daemon.start();
    try {
      await waitUntil('two reads', () => known.length > 1);
      expect(known[1]).to.include({ era: 2, revision: 7 });
    } finally {
      await daemon.stop();
    }
  });
});
