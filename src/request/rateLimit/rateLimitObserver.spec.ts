import { expect } from '../../../test/support/snapshot.js';
import type { AvailabilityZoneId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { ResponseHead } from '../../process/gateway/types.js';
import type { LogFields } from '../../process/logging.js';
import { Metrics } from '../../process/metrics.js';
import type { UpstreamEntry } from '../../version/routing/types.js';
import { RateLimitObserver } from './rateLimitObserver.js';
import { RateLimitRecords } from './rateLimitRecords.js';
import type { RateLimitStatement } from './types.js';
import { toIncarnation } from './types.js';

const upstream: UpstreamEntry = {
  id: toId<UpstreamId>('i-1'),
  service: toId<ServiceId>('s'),
  address: '10.0.0.1:80',
  availabilityZone: toId<AvailabilityZoneId>('z'),
  slots: 4,
  isDraining: false,
  startedAt: 7,
};
const signedHead: ResponseHead = {
  status: 200,
  headers: [],
  requestId: 'r',
  isSigned: true,
  isNotExecuted: false,
  isInstanceMismatch: false,
  rateLimit: { kind: 'none' },
  leaving: 'none',
  retryAfter: { kind: 'none' },
  isEncoded: false,
  isFramed: true,
};
const stated: RateLimitStatement = { kind: 'stated', perSecond: 2 };

const createObserver = (): {
  observer: RateLimitObserver;
  records: RateLimitRecords;
  metrics: Metrics;
  lines: string[];
  changed: string[];
} => {
  const records = new RateLimitRecords();
  const metrics = new Metrics();
  const lines: string[] = [];
  const changed: string[] = [];
  const write = (fields: LogFields, message: string): void => {
    lines.push(`${message} ${JSON.stringify(fields)}`);
  };
  const logger = { debug: write, info: write, warn: write, error: write };
  const onResponseChange = (id: string): void => {
    changed.push(id);
  };
  const observer = new RateLimitObserver({ records, logger, metrics, onResponseChange });
  return { observer, records, metrics, lines, changed };
};

describe('observer of rate limits', () => {
  it('guards against limits taken from responses that do not speak for the upstream', () => {
    const heads: Record<string, Partial<ResponseHead>> = {
      signed: { rateLimit: stated },
      unsigned: { rateLimit: stated, isSigned: false },
      refusalWithoutId: { rateLimit: stated, isNotExecuted: true, requestId: undefined },
      otherRequest: { rateLimit: stated, requestId: 'other' },
      otherInstance: { rateLimit: stated, isInstanceMismatch: true, isNotExecuted: true },
      encoded: { rateLimit: stated, isEncoded: true },
      beyondAnyUse: { rateLimit: { kind: 'stated', perSecond: 100_000_000 } },
    };
    const effects = Object.entries(heads).map(([name, fields]) => {
      const { observer, records, lines, changed } = createObserver();
      const head = { ...signedHead, ...fields };
      const change = observer.observeResponse({ upstream, head, requestId: 'r', sentAt: 0 }, 10);
      const limit = records.find(toIncarnation(upstream))?.perSecond ?? 'none';
      return [name, { change, limit, lines, changed }];
    });
    expect(Object.fromEntries(effects)).toMatchSnapshot();
  });

  it('guards against the end of a limit on the word of a response without signature', () => {
    const { observer, records } = createObserver();
    const respond = (fields: Partial<ResponseHead>, sentAt: number): string =>
      observer.observeResponse(
        { upstream, head: { ...signedHead, ...fields }, requestId: 'r', sentAt },
        sentAt + 10,
      );
    expect(respond({ rateLimit: stated }, 0)).to.equal('started');
    expect(respond({ isSigned: false }, 20)).to.equal('unchanged');
    expect(respond({ isNotExecuted: true, requestId: undefined }, 40)).to.equal('unchanged');
    expect(records.find(toIncarnation(upstream))?.perSecond).to.equal(2);
    expect(respond({}, 60)).to.equal('ended');
  });

  it('guards against invalid limits that change anything or fill the log', () => {
    const { observer, records, metrics, lines } = createObserver();
    const head = { ...signedHead, rateLimit: { kind: 'invalid', text: 'NaN' } as const };
    for (let sentAt = 0; sentAt < 100; sentAt += 20) {
      observer.observeResponse({ upstream, head, requestId: 'r', sentAt }, sentAt + 10);
    }
    expect(lines).toMatchSnapshot();
    expect(records.hasLimits).to.equal(false);
    expect(metrics.getCount('rate_limit_invalid')).to.equal(5);
  });
});
