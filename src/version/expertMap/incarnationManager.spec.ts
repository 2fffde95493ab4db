import { expect } from 'chai';
import type { RankView } from './incarnationManager.js';
import { IncarnationManager } from './incarnationManager.js';
import { getIssuingRank, NumberSource } from './numberSource.js';
import type { MapMessage } from './types.js';

const RANKS = 3;
const COMPLETION_TIMEOUT_MS = 100;

const createManager = (rank: number) => {
  const sent: MapMessage[] = [];
  const numbers = new NumberSource(RANKS, rank);
  const manager = new IncarnationManager({
    numbers,
    completionTimeoutMs: COMPLETION_TIMEOUT_MS,
    send: (_, message) => sent.push(message),
  });
  const update = (views: readonly (RankView | undefined)[], now: number) => {
    sent.length = 0;
    return manager.update(views, () => 1, now);
  };
  return { manager, numbers, sent, update };
};

const createViews = (names: readonly string[], incarnation = 0): RankView[] =>
  names.map((process) => ({ process, incarnation }));
const names = ['a', 'b', 'c'];

describe('group incarnations', () => {
  it('guards against equal numbers of two managers and of a restarted manager', () => {
    const [left, right] = [createManager(0), createManager(2)];
    left.update(createViews(names), 5);
    right.update(createViews(names), 5);
    const chosen = [left, right].map(({ manager }) => manager.chosenIncarnation);
    expect(chosen[0]).not.to.equal(chosen[1]);
    expect(chosen.map((number) => getIssuingRank(number, RANKS))).to.deep.equal([0, 2]);
    const restarted = createManager(0);
    restarted.update(createViews(names), 6);
    expect(restarted.manager.chosenIncarnation).to.be.greaterThan(chosen[0]!);
  });

  it('guards against a replaced process that is named in the same incarnation', () => {
    const { manager, update, sent } = createManager(0);
    update(createViews(names), 1);
    const first = manager.chosenIncarnation;
    // The `begun` of process c was lost and c has been replaced.
    const views = [...createViews(['a', 'b'], first), { process: 'd', incarnation: 0 }];
    update(views, 2);
    expect(manager.chosenIncarnation).to.be.greaterThan(first);
    expect(sent.every((message) => message.incarnation > first)).to.equal(true);
    expect(sent.length).to.equal(RANKS);
  });

  it('guards against choosing an incarnation while the process of a rank is unknown', () => {
    const { update, sent } = createManager(0);
    update([...createViews(['a', 'b']), undefined], 1);
    expect(sent.length).to.equal(0);
  });

  it('guards against two managers that keep invalidating each other’s incarnations', () => {
    const managers = [createManager(0), createManager(1)];
    const joined = [0, 0, 0];
    let complete: number | undefined;
    for (let now = 1; now < 1_000 && complete === undefined; now += 10) {
      for (const { update, sent } of managers) {
        const views = names.map((process, rank) => ({ process, incarnation: joined[rank]! }));
        complete = update(views, now);
        for (const message of sent) {
          if (message.type !== 'begin') continue;
          const rank = names.indexOf(message.process);
          joined[rank] = Math.max(joined[rank]!, message.incarnation);
        }
      }
    }
    expect(complete).to.be.greaterThan(0);
  });

  it('guards against waiting forever for a manager that ended before all ranks had begun', () => {
    const { manager, update } = createManager(1);
    const views = [{ process: 'a', incarnation: 300 }, ...createViews(['b', 'c'])];
    update(views, 10);
    expect(manager.chosenIncarnation).to.equal(0);
    update(views, 10 + COMPLETION_TIMEOUT_MS);
    expect(manager.chosenIncarnation).to.be.greaterThan(300);
  });
});
