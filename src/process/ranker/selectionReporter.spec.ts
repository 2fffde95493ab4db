import { Ok } from 'ts-results-es';
import { expect } from 'chai';
import seedrandom from 'seedrandom';
import { encodeFrame } from '../../connection/frameCodec.js';
import { DemandTracker } from './demandTracker.js';
import { packSelections, unpackSelections } from './selectionCodec.js';
import { computeSelectionInterval, SelectionReporter } from './selectionReporter.js';
import type { RankReport } from './types.js';

const RANKS = 32;
const LAYERS = 12;
const EXPERTS = 128;
const COUNTS = LAYERS * EXPERTS;
/** Link of the slowest ranker hosts of the grown deployments. */
const LINK_BITS_PER_MS = 5_600;
const MAX_LINK_SHARE = 0.2;
/** Headers of TCP and IP. */
const PACKET_HEADER_BYTES = 52;
const DURATION_MS = 10_000;

const report: RankReport = {
  group: 'g0',
  epoch: 1,
  rank: 3,
  size: RANKS,
  isOpen: true,
  startedAt: 1,
  pass: 10,
  map: 0,
  prepared: undefined,
  armed: undefined,
  held: undefined,
  running: 7,
  queued: 0,
};

/** Counts that grow by uneven steps between two reads. */
function createEngine(seed: string): {
  counts: number[];
  readSelectionCounts: SelectionReporter['engine']['readSelectionCounts'];
} {
  const random = seedrandom(seed);
  const counts = new Array<number>(COUNTS).fill(0);
  return {
    counts,
    readSelectionCounts: () => {
      for (const index of counts.keys()) {
        counts[index] = (counts[index] ?? 0) + Math.floor(random() ** 6 * 400);
      }
      return Promise.resolve(Ok({ epoch: 1, counts: [...counts] }));
    },
  };
}

describe('selection reports', () => {
  // 32 ranks that sent 1,536 numbers each 140 ms filled the link of the coordinator's host, and orders waited behind them.
  it('guards against reports that fill the link of the coordinator', async () => {
    const reporter = new SelectionReporter(createEngine('bytes'));
    let bytes = 0;
    for (let now = 0; now < DURATION_MS; now += 20) {
      if (now < reporter.computeNextAt(RANKS)) continue;
      const packed = await reporter.readPacked(report, now);
      if (packed === undefined) continue;
      const frame = encodeFrame({ type: 'rankSelections', epoch: 1, ...packed });
      bytes += (RANKS - 1) * (frame.length + PACKET_HEADER_BYTES);
    }
    expect(bytes).to.be.greaterThan(0);
    expect((bytes * 8) / DURATION_MS).to.be.below(LINK_BITS_PER_MS * MAX_LINK_SHARE);
  });

  // Copies follow the demand; at small groups the interval stays short.
  it('guards against rare reports of a small group, and of a large one', () => {
    expect(computeSelectionInterval(8, 384)).to.equal(140);
    expect(computeSelectionInterval(RANKS, COUNTS / 2)).to.be.below(300);
  });

  // Counts are scaled to half a byte; the rest is reported later.
  it('guards against demand that is lost or shifted by the packing', async () => {
    const engine = createEngine('sum');
    const reporter = new SelectionReporter(engine);
    const sums = new Float64Array(COUNTS);
    let first: number[] | undefined;
    let scale = 0;
    for (let now = 0; now < DURATION_MS; now += 300) {
      const packed = await reporter.readPacked(report, now);
      first ??= [...engine.counts];
      if (packed === undefined) continue;
      scale = Math.max(scale, packed.scale);
      for (const [index, count] of unpackSelections(packed, COUNTS)!.entries()) {
        sums[index] = (sums[index] ?? 0) + count;
      }
    }
    expect(scale).to.be.greaterThan(1);
    for (const [index, sum] of sums.entries()) {
      const selected = (engine.counts[index] ?? 0) - (first?.[index] ?? 0);
      expect(Math.abs(sum - selected)).to.be.at.most(scale);
    }
  });

  it('guards against counts of another layout', () => {
    expect(unpackSelections(packSelections(new Float64Array(7)), 9)).to.equal(undefined);
  });
});

describe('demand tracker', () => {
  // Decaying all weights at each of some hundred reports a second took processor time of the coordinator.
  it('guards against weights that differ from plain exponential decay', () => {
    const tracker = new DemandTracker(1, 2, 0);
    let first = 0;
    let second = 0;
    for (let now = 100; now <= 60_000; now += 100) {
      const decay = 0.5 ** (100 / 250);
      first = first * decay + 3;
      second = second * decay + (now % 200 === 0 ? 2 : 0);
      tracker.addSelections([3, now % 200 === 0 ? 2 : 0], now);
    }
    const [weights] = tracker.getLoad();
    expect(weights?.[0]).to.be.closeTo(first, 1e-6);
    expect(weights?.[1]).to.be.closeTo(second, 1e-6);
    expect(tracker.total).to.be.closeTo(first + second, 1e-6);
    tracker.addSelections([1, 0], 10_000_000);
    expect(tracker.getLoad()).to.deep.equal([[1, 0]]);
  });
});
