import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import type { UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import { GroupHealth } from '../../request/admission/groupHealth.js';
import { createLogger } from '../logging.js';
import { maintainGroupProbes } from './groupProbing.js';

const [a, b, gone] = ['a', 'b', 'gone'].map((id) => toId<UpstreamId>(id)) as [
  UpstreamId,
  UpstreamId,
  UpstreamId,
];

describe('probes of a failed group', () => {
  it('guards against requests of callers that serve as probes of a re-forming group', async () => {
    const health = new GroupHealth();
    for (const id of [gone, a, b]) health.setGroup(id, 'g0');
    let now = 0;
    health.recordFailure(a, now);
    const probedAddresses: string[] = [];
    const controller = new AbortController();
    await maintainGroupProbes({
      health,
      logger: createLogger('test'),
      signal: controller.signal,
      readClock: () => (now += 40),
      isPaused: () => false,
      statements: { recordLeaving: () => undefined },
      findAddress: (id) => (id === gone ? undefined : `${id}:80`),
      probe: {
        readGroup: (address) => {
          probedAddresses.push(address);
          if (probedAddresses.length === 1) {
            return Promise.resolve(Err({ code: 'unreachable', message: 'refused' }));
          }
          return Promise.resolve(Ok({ name: 'g0', isOpen: probedAddresses.length > 3 }));
        },
      },
      onOpen: () => {
        controller.abort();
      },
    });
    expect(new Set(probedAddresses)).to.deep.equal(new Set(['a:80', 'b:80']));
    expect(probedAddresses.length).to.equal(4);
    expect(health.isAvailable(b, now)).to.equal(true);
    expect(health.findOutageStart(b, now)).to.equal(undefined);
  });
});
