import { expect } from 'chai';
import type { RunningWork, WorkspaceUsage } from './preemption.js';
import { choosePreemption, MIN_RUN_MS } from './preemption.js';

const now = 10_000;
const shares: Record<string, number> = { big: 0.25, small: 0.25, other: 0.25, none: 0, part: 0.4 };

const work = (id: string, change: Partial<RunningWork> = {}): RunningWork => ({
  id,
  workspace: id.replace(/\d+$/, ''),
  startedAt: 1_000 + Number(id.replace(/\D+/, '')),
  preemptible: true,
  preemptions: 0,
  ...change,
});

interface Case {
  readonly guards: string;
  readonly running: readonly RunningWork[];
  readonly waiting: readonly string[];
  /** Average usage by workspace where it differs from the slots currently held. */
  readonly averageUsage?: Record<string, number>;
  readonly expected: string | undefined;
}

const fourBig = [work('big1'), work('big2'), work('big3'), work('big4')];
const cases: readonly Case[] = [
  {
    guards: 'withholding borrowed slots from a workspace below its share',
    running: fourBig,
    waiting: ['small'],
    expected: 'big4 for small',
  },
  {
    guards: 'preemption while a slot is free',
    running: fourBig.slice(1),
    waiting: ['small'],
    expected: undefined,
  },
  {
    guards: 'preemption for a workspace without a share',
    running: fourBig,
    waiting: ['none'],
    expected: undefined,
  },
  {
    guards: 'preemption for a workspace that has its share',
    running: [work('big1'), work('big2'), work('big3'), work('small1')],
    waiting: ['small'],
    expected: undefined,
  },
  {
    guards: 'a burst within the average share waiting behind borrowed slots',
    running: [work('big1'), work('big2'), work('big3'), work('small1')],
    waiting: ['small'],
    averageUsage: { small: 0.5 },
    expected: 'big3 for small',
  },
  {
    guards: 'a guaranteed slot being taken for the burst of another workspace',
    running: [work('small1'), work('small2'), work('small3'), work('big1')],
    waiting: ['other'],
    averageUsage: { small: 0.5 },
    expected: 'small3 for other',
  },
  {
    guards: 'preempting a workspace that is not above its share',
    running: [work('big1'), work('small1'), work('other1'), work('none1')],
    waiting: ['big', 'fresh'],
    expected: undefined,
  },
  {
    guards: 'preempting a workspace other than the one furthest above its share',
    running: [work('none9'), work('big1'), work('big2'), work('big3')],
    waiting: ['small'],
    expected: 'big3 for small',
  },
  {
    guards: 'losing a fraction of a slot to rounding',
    running: [work('none1'), work('none2'), work('none3'), work('part1')],
    waiting: ['part'],
    expected: 'none3 for part',
  },
  {
    guards: 'not reclaiming a slot from a workspace that exceeds its share by a fraction of a slot',
    running: [work('small1'), work('other1'), work('part1'), work('part2')],
    waiting: ['big'],
    expected: 'part2 for big',
  },
  {
    guards: 'two workspaces taking a slot from each other in turn',
    running: [work('small1'), work('other1'), work('part1'), work('big1')],
    waiting: ['part'],
    averageUsage: { part: 1.9, big: 0.1 },
    expected: undefined,
  },
  {
    guards: 'two workspaces with about equal use taking a slot from each other in turn',
    running: [work('small1'), work('other1'), work('big1'), work('big2')],
    waiting: ['part'],
    averageUsage: { part: 1.4, big: 1.05 },
    expected: undefined,
  },
  {
    guards: 'preempting orders and plain calls',
    running: fourBig.map((item) => ({ ...item, preemptible: item.id === 'big1' })),
    waiting: ['small'],
    expected: 'big1 for small',
  },
  {
    guards: 'preempting the same stream repeatedly',
    running: [
      ...fourBig.slice(0, 3),
      work('big4', { preemptions: 3, startedAt: now - 3 * MIN_RUN_MS }),
    ],
    waiting: ['small'],
    expected: 'big3 for small',
  },
  {
    guards: 'preempting a stream that has just started',
    running: fourBig.map((item) => ({ ...item, startedAt: now - 10 })),
    waiting: ['small'],
    expected: undefined,
  },
];

describe('preemption', () => {
  for (const { guards, running, waiting, averageUsage = {}, expected } of cases) {
    it(`guards against ${guards}`, () => {
      const getUsage = (workspace: string): WorkspaceUsage => {
        const held = running.filter((item) => item.workspace === workspace).length;
        const average = averageUsage[workspace] ?? held;
        return { share: shares[workspace] ?? 0, held, average, averageSinceFirstUse: average };
      };
      const chosen = choosePreemption({ slots: 4, running, waiting, getUsage }, now);
      const text = chosen && `${chosen.victim} for ${chosen.beneficiary}`;
      expect(text).to.equal(expected);
    });
  }
});
