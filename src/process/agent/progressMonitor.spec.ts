import { expect } from 'chai';
import { ProgressMonitor } from './progressMonitor.js';

const createMonitor = (): ProgressMonitor => {
  const monitor = new ProgressMonitor({ stallAfterMs: 800 });
  monitor.recordProgress(1_000);
  return monitor;
};

describe('progress monitor', () => {
  it('guards against new work for an upstream without observed progress', () => {
    const monitor = new ProgressMonitor();
    monitor.recordLoad({ running: 0, steps: 5 }, 1_000);
    expect(monitor.update(0, 1_001)).to.equal(false);
  });

  it('guards against treating an idle upstream as stalled', () => {
    const monitor = createMonitor();
    expect(monitor.update(0, 60_000)).to.equal(true);
    expect(monitor.update(1, 60_700)).to.equal(true);
  });

  it('guards against accepting work again after a response that shows no progress', () => {
    const monitor = createMonitor();
    monitor.recordLoad({ running: 1, steps: 5 }, 1_100);
    expect(monitor.update(1, 1_799)).to.equal(true);
    expect(monitor.update(1, 1_800)).to.equal(false);
    monitor.recordLoad({ running: 1, steps: 5 }, 2_000);
    expect(monitor.update(1, 2_000)).to.equal(false);
    monitor.recordLoad({ running: 1, steps: 6 }, 2_100);
    expect(monitor.update(1, 2_100)).to.equal(true);
  });

  it('guards against missing a stall while only other clients use the engine', () => {
    const monitor = createMonitor();
    monitor.recordLoad({ running: 3, steps: 5 }, 1_100);
    expect(monitor.update(0, 1_900)).to.equal(false);
  });

  it('guards against treating the step counter of a restarted engine as progress', () => {
    const monitor = createMonitor();
    monitor.recordLoad({ running: 0, steps: 90 }, 1_100);
    monitor.recordUnavailable(1_200);
    monitor.recordLoad({ running: 0, steps: 100 }, 1_300);
    expect(monitor.update(0, 1_300)).to.equal(false);
    expect(monitor.notAcceptingSince).to.equal(1_200);
  });
});
