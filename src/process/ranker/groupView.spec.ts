import { expect } from 'chai';
import { GroupView } from './groupView.js';
import type { RankReport } from './types.js';

const createReport = (rank: number, map: number): RankReport => ({
  group: 'g0',
  size: 2,
  rank,
  epoch: 1,
  isOpen: true,
  startedAt: 1,
  pass: 10,
  map,
  prepared: undefined,
  armed: undefined,
  held: undefined,
  running: 0,
  queued: 0,
});
const sendOrder = (): Promise<'done'> => Promise.resolve('done');

describe('group view after a change that an earlier coordinator began', () => {
  it('guards against a map that stays unknown when a rank reports the switch early', () => {
    const view = new GroupView('g0', 2);
    const apply = (rank: number, map: number, experts?: number[][]): void => {
      const status = { report: createReport(rank, map), ...(experts && { experts }) };
      view.applyStatus(status, sendOrder, 0);
    };
    apply(0, 1, [[0, 1]]);
    apply(1, 1, [[2, 3]]);
    apply(1, 2, [[2, 3, 0]]);
    view.applySwitch(2, undefined);
    expect(view.assemblePlacement([...view.ranks.values()])).to.equal(undefined);
    apply(0, 2, [[0, 1, 2]]);
    expect(view.assemblePlacement([...view.ranks.values()])).to.deep.equal([
      [
        [0, 1, 2],
        [2, 3, 0],
      ],
    ]);
  });
});
