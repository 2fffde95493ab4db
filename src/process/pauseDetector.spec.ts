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
});
