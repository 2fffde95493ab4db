import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import type { UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { MessageOf } from '../../protocol/messages.js';
import { GroupHealth } from '../../request/admission/groupHealth.js';
import type { CachedConfiguration } from './configurationCache.js';
import { createLogger } from '../logging.js';
import { Metrics } from '../metrics.js';
import { waitMs } from '../../../test/support/waiting.js';
import { GroupDiscovery } from './groupDiscovery.js';

const TICK_MS = 25;
const upstreams = Array.from({ length: 72 }, (_, index) => toId<UpstreamId>(`i-${index}`));
const services = new Map([['llm', { engine: { experts: {} } }]]);
const current = { configuration: { services } } as unknown as CachedConfiguration;

/** Gateways on a network without delay, which all start at once. */
class FakeFleet {
  now = 0;
  probes = 0;
  readonly starts = new Map(upstreams.map((id) => [id, 1]));
  readonly members: { discovery: GroupDiscovery; health: GroupHealth; isDown: boolean }[] = [];

  constructor(
    count: number,
    private readonly groupOf: (id: string, prober: number) => string | undefined = (id) =>
      `g${Number(id.slice(2)) % 3}`,
  ) {
    for (let index = 0; index < count; index += 1) this.addMember(index, count > 1);
    this.forEachPair((a, b) => {
      this.members[a]?.discovery.knowledge.addTeller(`gateway-${b}`);
    });
    for (const { discovery } of this.members) for (const id of upstreams) discovery.add(id);
  }

  async run(durationMs: number): Promise<void> {
    for (const endAt = this.now + durationMs; this.now < endAt; this.now += TICK_MS) {
      for (const { discovery, isDown } of this.members) if (!isDown) discovery.advance(this.now);
      await waitMs(0);
    }
  }

  stop(index: number): void {
    this.members[index]!.isDown = true;
    for (const { discovery } of this.members) {
      discovery.knowledge.removeTeller(`gateway-${index}`);
    }
  }

  countKnown(index: number): number {
    const { health } = this.members[index]!;
    return upstreams.filter((id) => /^g\d/.test(health.findGroup(id) ?? '')).length;
  }

  private forEachPair(visit: (a: number, b: number) => void): void {
    for (const a of this.members.keys()) {
      for (const b of this.members.keys()) if (a !== b) visit(a, b);
    }
  }

  private addMember(index: number, hasPeers: boolean): void {
    const health = new GroupHealth();
    const discovery = new GroupDiscovery({
      self: `gateway-${index}`,
      hasPeers,
      health,
      configurationCache: { current },
      directory: {
        findEntry: (id) => ({
          id,
          service: toId('llm'),
          address: id,
          availabilityZone: toId('a'),
          slots: 7,
          isDraining: false,
          startedAt: this.starts.get(id),
          heartbeat: 1,
        }),
      },
      statements: { recordLeaving: () => undefined },
      logger: createLogger('test'),
      metrics: new Metrics(),
      readClock: () => this.now,
      probe: {
        readGroup: (address) => {
          this.probes += 1;
          const name = this.groupOf(address, index);
          if (name === undefined) {
            return Promise.resolve(Err({ code: 'unreachable', message: address }));
          }
          return Promise.resolve(Ok({ name, isOpen: true }));
        },
      },
      broadcast: (message) => {
        for (const [other, member] of this.members.entries()) {
          if (other === index || member.isDown || this.members[index]!.isDown) continue;
          member.discovery.receive(message as MessageOf<'upstreamGroups'>, `gateway-${index}`);
        }
      },
    });
    this.members.push({ discovery, health, isDown: false });
  }
}

describe('discovery of groups', () => {
  for (const gateways of [1, 3, 13]) {
    it(`guards against probes of every engine by every gateway after a start of all; gateways: ${gateways}`, async () => {
      const fleet = new FakeFleet(gateways);
      await fleet.run(1_000);
      for (let index = 0; index < gateways; index += 1)
        expect(fleet.countKnown(index)).to.equal(72);
      expect(fleet.probes).to.equal(72);
    });
  }

  it('guards against groups that stay unknown when the gateway that probes them is lost', async () => {
    const fleet = new FakeFleet(3);
    fleet.stop(0);
    await fleet.run(1_000);
    expect([fleet.countKnown(1), fleet.countKnown(2)]).to.deep.equal([72, 72]);
  });

  it('guards against groups that stay unknown when a linked gateway cannot reach the engines', async () => {
    const fleet = new FakeFleet(3, (id, prober) => (prober === 0 ? undefined : `g${id.length}`));
    await fleet.run(1_500);
    expect([0, 1, 2].map((index) => fleet.countKnown(index))).to.deep.equal([72, 72, 72]);
  });

  it('guards against the group of an earlier start for an engine that has restarted under its id', async () => {
    let group = 'g0';
    const fleet = new FakeFleet(3, () => group);
    await fleet.run(1_000);
    group = 'g1';
    const [restarted = toId<UpstreamId>('')] = upstreams;
    fleet.starts.set(restarted, 2);
    for (const { discovery } of fleet.members) discovery.add(restarted);
    const before = {
      type: 'upstreamGroups' as const,
      groups: [{ upstream: restarted, startedAt: 1, group: 'g0' }],
    };
    for (const { discovery } of fleet.members) discovery.receive(before, 'gateway-9');
    await fleet.run(1_000);
    const groups = fleet.members.map(({ health }) => health.findGroup(restarted));
    expect(groups).to.deep.equal(['g1', 'g1', 'g1']);
  });

  it('guards against a word of another gateway in place of what was read', async () => {
    const fleet = new FakeFleet(1);
    await fleet.run(1_000);
    const wrong = {
      type: 'upstreamGroups' as const,
      groups: [{ upstream: upstreams[0]!, startedAt: 1, group: 'g7' }],
    };
    fleet.members[0]!.discovery.receive(wrong, 'gateway-9');
    expect(fleet.members[0]!.health.findGroup(upstreams[0]!)).to.equal('g0');
  });

  it('guards against probes by a gateway that links to one that knows the groups', async () => {
    const known = new FakeFleet(1);
    await known.run(1_000);
    const late = new FakeFleet(2);
    const [message] = known.members[0]!.discovery.createMessages();
    late.members[0]!.discovery.receive(message as MessageOf<'upstreamGroups'>, 'gateway-9');
    expect(late.countKnown(0)).to.equal(72);
  });
});
