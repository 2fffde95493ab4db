import { expect } from 'chai';
import { GracefulStop } from './gracefulStop.js';

const times = { limitMs: 7_500, listeningMs: 2_600 };

describe('gracefulStop', () => {
  it('guards against limits before a stop has begun', () => {
    const stop = new GracefulStop(times);
    expect(stop.isDraining).to.equal(false);
    expect(stop.computeElapsedMs(100)).to.equal(undefined);
    expect(stop.computeRemainingMs(100)).to.equal(Infinity);
    expect(stop.computeListeningMs(100)).to.equal(Infinity);
    expect(stop.isOver(1e9)).to.equal(false);
  });

  // A second signal must not prolong the stop, as the limit counts from the first one.
  it('guards against a stop that begins anew with a second signal', () => {
    const stop = new GracefulStop(times);
    stop.begin(1_000, 1_000);
    stop.begin(5_000, 5_000);
    expect(stop.computeElapsedMs(5_000)).to.equal(4_000);
    expect(stop.computeRemainingMs(5_000)).to.equal(3_500);
    expect(stop.computeListeningMs(3_000)).to.equal(600);
    expect(stop.computeListeningMs(5_000)).to.equal(0);
    expect(stop.isOver(8_499)).to.equal(false);
    expect(stop.isOver(8_500)).to.equal(true);
  });

  // The signal may have been sent at any time of a pause; requests that were begun are not ended early for it.
  it('guards against work that is begun with the limit counted from the end of a pause', () => {
    const stop = new GracefulStop(times);
    stop.begin(6_000, 6_000, 2_000);
    expect(stop.computeRemainingMs(6_000)).to.equal(3_500);
    expect(stop.isOver(9_500)).to.equal(false);
    expect(stop.isOver(13_500)).to.equal(true);
  });

  // Such a step looks like a suspend of the host, and streams with seconds left were cut.
  it('guards against an earlier end of the stop by a forward step of the wall clock', () => {
    const stop = new GracefulStop(times);
    stop.begin(1_000, 1_000);
    expect(stop.computeRemainingMs(22_000)).to.equal(-13_500);
    expect(stop.computeListeningMs(2_000)).to.equal(1_600);
    expect(stop.isOver(2_000)).to.equal(false);
    expect(stop.isOver(8_500)).to.equal(true);
  });
});
