import { expect } from 'chai';
import { PauseDetector } from './pauseDetector.js';

describe('PauseDetector', () => {
  it('guards against unreduced deadlines for requests that were buffered during a pause', () => {
    const detector = new PauseDetector(0);
    detector.recordTick(250);
    expect(detector.computeEarliestArrival(400)).to.equal(400);
    // Paused from 250 to 5250; sockets are read both before and after the next tick.
    expect(detector.computeEarliestArrival(5_250)).to.equal(250);
    detector.recordTick(5_251);
    expect(detector.computeEarliestArrival(5_260)).to.equal(250);
    detector.recordTick(5_501);
    expect(detector.computeEarliestArrival(6_300)).to.equal(6_300);
  });

  it('guards against reduced deadlines under normal load', () => {
    const detector = new PauseDetector(0);
    expect(detector.computeEarliestArrival(900)).to.equal(900);
  });

  // A busy host halts a process again right after SIGCONT; the signal of a stop was then taken for a later one.
  it('guards against a second pause that hides an earlier one whose buffered data is unread', () => {
    const detector = new PauseDetector(0, 250);
    detector.recordTick(25);
    // Paused from 25 to 3025, and from 3025 to 3325.
    detector.recordTick(3_025);
    expect(detector.computeEarliestArrival(3_325)).to.equal(25);
    for (let now = 3_350; now <= 4_050; now += 25) detector.recordTick(now);
    expect(detector.computeEarliestArrival(4_060)).to.equal(25);
    // What the first one buffered has been read.
    expect(detector.computeEarliestArrival(4_075)).to.equal(3_025);
    for (let now = 4_075; now <= 4_300; now += 25) detector.recordTick(now);
    expect(detector.computeEarliestArrival(4_325)).to.equal(4_325);
  });

  it('guards against an earliest arrival that stays at the first of many pauses', () => {
    const detector = new PauseDetector(0);
    for (let now = 1_500; now <= 150_000; now += 1_500) detector.recordTick(now);
    expect(detector.computeEarliestArrival(150_000)).to.equal(150_000 - 4 * 1_500);
  });
});
