import { expect } from 'chai';
import { Ok } from 'ts-results-es';
import type { PeerLink } from '../../connection/peerLink.js';
import type { Message } from '../../protocol/messages.js';
import { waitUntil } from '../../../test/support/waiting.js';
import { createLogger } from '../logging.js';
import { Metrics } from '../metrics.js';
import { Deputy } from './deputy.js';
import { GroupRoster, ROSTER_FEATURE } from './groupRoster.js';
import type { RankOrder, RankReport, RemoteEngine } from './types.js';

const SIZE = 3;
const VERSION = 8;
const HELD_PASS = 5;
const addresses = ['10.0.0.1:80', '10.0.0.2:80', '10.0.0.3:80'];

const createReport = (rank: number): RankReport => ({
  group: 'g',
  epoch: 1,
  rank,
  size: SIZE,
  isOpen: true,
  startedAt: 1,
  pass: HELD_PASS - 1,
  map: 2,
  prepared: VERSION,
  armed: rank === 2 ? undefined : { version: VERSION, pass: HELD_PASS },
  held: rank === 0 ? HELD_PASS : undefined,
  running: 1,
  queued: 0,
});

describe('deputy of a stopped coordinator', () => {
  it('guards against a pass that stays held: it arms the rank that is left, then releases, over other hosts', async () => {
    const sent: [string, RankOrder][] = [];
    const metrics = new Metrics();
    const connect = (address: string, rank: number): RemoteEngine => ({
      readReport: () => Promise.resolve(Ok(createReport(rank))),
      sendOrder: (order) => {
        sent.push([address, order]);
        return Promise.resolve('done');
      },
      close: () => undefined,
    });
    const engine = {
      ...connect('local', 1),
      readSelectionCounts: () => Promise.reject(new Error('not read')),
      readExperts: () => Promise.reject(new Error('not read')),
    };
    const deputy = new Deputy({
      engine,
      connectEngine: (address) => connect(address, addresses.indexOf(address)),
      logger: createLogger('test'),
      metrics,
    });
    const startedAt = performance.now();
    deputy.observe(createReport(1), startedAt - 2_000);
    deputy.observe(createReport(1), startedAt - 1_000);
    expect(sent, 'no order without the addresses of the group').to.deep.equal([]);
    deputy.setEngines(addresses);
    deputy.observe(createReport(1), startedAt);
    deputy.observe(createReport(1), startedAt);
    await waitUntil('the release', () => metrics.getCount('deputy_released') === 1);
    expect(sent).to.deep.equal([
      [addresses[2], { kind: 'arm', version: VERSION, pass: HELD_PASS }],
      [addresses[0], { kind: 'release', pass: HELD_PASS }],
    ]);
  });

  it('guards against a roster for a ranker that does not know it, an incomplete one, and repeats', () => {
    const sent: Message[] = [];
    const createLink = (features: string[] | undefined): Pick<PeerLink, 'peer' | 'send'> => ({
      peer: { features } as PeerLink['peer'],
      send: (message) => {
        sent.push(message);
        return true;
      },
    });
    const roster = new GroupRoster('g', 2);
    const link = createLink([ROSTER_FEATURE]);
    roster.setEngine(0, 'a:1');
    roster.sendTo(link);
    expect(sent).to.have.lengthOf(0);
    roster.setEngine(1, 'b:1');
    roster.sendTo(createLink(undefined));
    expect(sent).to.have.lengthOf(0);
    roster.sendTo(link);
    roster.sendTo(link);
    roster.setEngine(1, 'c:1');
    roster.sendTo(link);
    expect(sent).to.deep.equal([
      { type: 'groupRoster', group: 'g', engines: ['a:1', 'b:1'] },
      { type: 'groupRoster', group: 'g', engines: ['a:1', 'c:1'] },
    ]);
  });
});
