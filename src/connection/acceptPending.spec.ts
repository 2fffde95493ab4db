import { expect } from 'chai';
import { acceptPending } from './acceptPending.js';

describe('acceptPending', () => {
  // The kernel resets connections that come between the last accept and the close of the listener.
  it('guards against closing a listener long after it has last accepted connections', async () => {
    const turnsMs = [5, 3, 0.1];
    let now = 0;
    let reads = 0;
    await acceptPending(
      () => 0,
      () => {
        reads += 1;
        // After the first one, two readings belong to each turn.
        if (reads > 1 && reads % 2 === 1) now += turnsMs.shift() ?? 0;
        return now;
      },
    );
    expect(turnsMs).to.deep.equal([]);
  });

  it('guards against a listener that a busy process never closes', async () => {
    let now = 0;
    await acceptPending(
      () => 0,
      () => (now += 20),
    );
    expect(now).to.be.within(200, 400);
  });
});
