import { expect } from 'chai';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { waitMs, waitUntil } from '../support/waiting.js';

/** Longer than the interval of the reads of the store. */
const READ_MS = 900;
const withoutSecondKey = { tenants: [{ name: 'branch', apiKeys: ['key-1'] }] };

describe('store restored from an older copy', () => {
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const callWithKey = async (key: string, index = 0): Promise<number> =>
    (await callGateway(fixture.urls[index] ?? '', '/lookup/a', { 'x-api-key': key })).status;
  const describeGateway = (index = 0): Record<string, unknown> =>
    fixture.gateways[index]?.dump() as Record<string, unknown>;
  // Guards against a configuration that is never applied, because its revision is that of a lost one.
  it('guards against a value that is taken for unchanged because its revision was assigned before', async () => {
    fixture = await startGatewayFixture({ era: 1 });
    fixture.store.takeCopy();
    fixture.publishConfiguration(2);
    await waitUntil('version 2', () => describeGateway().configurationVersion === 2);
    fixture.store.restoreCopy();
    fixture.publishConfiguration(3, withoutSecondKey);
    await waitMs(READ_MS);
    expect(describeGateway().configurationVersion).to.equal(3);
    expect(await callWithKey('key-2')).to.equal(401);
  });
});
