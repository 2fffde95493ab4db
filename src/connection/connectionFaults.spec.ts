import { expect } from 'chai';
import { ConnectionFaults } from './connectionFaults.js';

describe('connection faults', () => {
  it('guards against a log line for each of many faults', () => {
    const lines: unknown[] = [];
    const faults = new ConnectionFaults();
    faults.configure((fields) => lines.push(fields));
    for (let now = 0; now <= 2_000; now += 10) faults.record('idle_bytes', { upstream: 'u' }, now);
    expect(faults.listCounts()).to.deep.equal([['idle_bytes', 201]]);
    expect(lines).to.deep.equal([
      { upstream: 'u', fault: 'idle_bytes', unlogged: 0 },
      { upstream: 'u', fault: 'idle_bytes', unlogged: 99 },
      { upstream: 'u', fault: 'idle_bytes', unlogged: 99 },
    ]);
  });
});
