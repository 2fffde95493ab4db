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

describe('probes of a broken group', () => {
  it('guards against requests spent on finding out whether a group has formed anew', async () => {
    const health = new GroupHealth();
    for (const id of [gone, a, b]) health.setGroup(id, 'g0');
    let now = 0;
    health.recordFailure(a, now);
    const asked: string[] = [];
    const ending = new AbortController();
    await maintainGroupProbes({
      health,
      logger: createLogger('test'),
      signal: ending.signal,
      readNow: () => (now += 40),
      findAddress: (id) => (id === gone ? undefined : `${id}:80`),
      probe: {
        readGroup: (address) => {
          asked.push(address);
          if (asked.length === 1) {
            return Promise.resolve(Err({ code: 'unreachable', message: 'refused' }));
          }
          return Promise.resolve(Ok({ name: 'g0', isOpen: asked.length > 3 }));
        },
      },
      onOpen: () => {
        ending.abort();
      },
    });
    expect(new Set(asked)).to.deep.equal(new Set(['a:80', 'b:80']));
    expect(asked.length).to.equal(4);
    expect(health.isAvailable(b, now)).to.equal(true);
    expect(health.findOutageStart(b, now)).to.equal(undefined);
  });
});
