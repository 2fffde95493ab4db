import { expect } from 'chai';
import { MapSchedule } from '../../../bench/proofs/mapSchedule.js';
import { BaselineParticipant } from '../../../bench/proofs/baselineParticipant.js';
import { RankGroup } from '../../../test/standins/rankGroup.js';
import { MapCoordinator } from './mapCoordinator.js';
import { RankParticipant } from './rankParticipant.js';
import type { MapMessage, Target } from './types.js';

const RANKS = 2;
const token = { incarnation: 1, fencing: 1 };

/** Ranks that have begun incarnation 1 with map 1; sent messages are collected. */
const createGroup = (
  kind: typeof RankParticipant | typeof BaselineParticipant,
  maxPauseMs = 300,
) => {
  const sent: { target: Target; message: MapMessage }[] = [];
  const group = new RankGroup(RANKS, 'ignored');
  const ranks = group.engines.map((engine, rank) => {
    const send = (target: Target, message: MapMessage): void => {
      sent.push({ target, message });
    };
    const participant = new kind({ rank, process: `p${rank}`, engine, send, maxPauseMs }, 0);
    participant.handle({ type: 'begin', ...token, process: `p${rank}`, version: 1 }, 0);
    return participant;
  });
  const runSteps = (): void => {
    for (let round = 0; round < 10; round += 1) {
      for (const [rank, participant] of ranks.entries()) group.open(rank, participant, 1, 10);
      group.runStep();
    }
  };
  return { sent, group, ranks, runSteps };
};

const prepare: MapMessage = { type: 'prepare', ...token, change: 1, version: 2, step: 5 };
const commit: MapMessage = { type: 'decide', ...token, change: 1, outcome: 'commit' };

describe('expert map change', () => {
  it('guards against mixed maps when one rank misses the prepare message; the naive participant mixes them', () => {
    const naiveGroup = createGroup(BaselineParticipant);
    naiveGroup.ranks[0]!.handle(prepare, 10);
    naiveGroup.runSteps();
    expect(naiveGroup.group.countMixedSteps()).to.equal(5);

    const protocolGroup = createGroup(RankParticipant);
    protocolGroup.ranks[0]!.handle(prepare, 10);
    protocolGroup.runSteps();
    expect(protocolGroup.group.countMixedSteps()).to.equal(0);
    expect(protocolGroup.group.steps.length).to.equal(5);
  });

  it('guards against a step before all prepared ranks know the decision', () => {
    const { ranks, group, runSteps } = createGroup(RankParticipant);
    for (const rank of ranks) rank.handle(prepare, 10);
    ranks[0]!.handle(commit, 10);
    runSteps();
    expect(group.steps.length).to.equal(5);
    ranks[1]!.handle(commit, 10);
    runSteps();
    expect(group.steps.at(-1)?.maps).to.deep.equal([2, 2]);
    expect(group.countMixedSteps()).to.equal(0);
  });

  it('guards against an abort by a new coordinator after a possible commit', () => {
    for (const preparedRanks of [1, 2]) {
      const { ranks, sent } = createGroup(RankParticipant);
      for (const rank of ranks.slice(0, preparedRanks)) rank.handle(prepare, 10);
      const decisions: MapMessage[] = [];
      const coordinator = new MapCoordinator({
        ...token,
        fencing: 2,
        ranks: RANKS,
        prepareTimeoutMs: 100,
        startedAt: 0,
        send: (target, message) => {
          if (message.type === 'decide') decisions.push(message);
          if ('rank' in target) ranks[target.rank]!.handle(message, 10);
        },
      });
      coordinator.update(10);
      for (const { message } of [...sent]) coordinator.handle(message, 10);
      const outcomes = decisions.map((message) => message.type === 'decide' && message.outcome);
      const expected = preparedRanks === RANKS ? 'commit' : 'abort';
      expect(outcomes).to.deep.equal([expected, expected]);
    }
  });

  it('guards against commands of a process that was paused', () => {
    const { ranks, group } = createGroup(RankParticipant);
    ranks[0]!.handle(prepare, 10);
    ranks[0]!.handle(commit, 1_000);
    expect(ranks[0]!.stopReason).to.equal('paused');
    expect(group.engines[0]!.readMap()).to.equal(1);
  });

  it('guards against a restarted process that joins its predecessor’s incarnation', () => {
    const { ranks, group } = createGroup(RankParticipant);
    const engine = group.engines[0]!;
    const send = (): void => undefined;
    const restarted = new RankParticipant(
      { rank: 0, process: 'p0-restarted', engine, send, maxPauseMs: 300 },
      10,
    );
    restarted.handle({ type: 'begin', ...token, process: 'p0', version: 1 }, 10);
    expect(restarted.openStep(10)).to.equal(undefined);
    expect(ranks[0]!.openStep(10)).to.deep.equal({ incarnation: 1, step: 0 });
  });

  it('guards against mixed steps and a stalled group under seeded faults', () => {
    for (const variant of ['checked', 'ignored'] as const) {
      for (let seed = 0; seed < 15; seed += 1) {
        const result = new MapSchedule(`spec/${seed}`, variant).run();
        expect(result.mixedSteps, `${variant} ${seed}`).to.equal(0);
        expect(result.isStalled, `${variant} ${seed}`).to.equal(false);
        expect(result.committed).to.be.greaterThan(0);
      }
    }
  });
});
