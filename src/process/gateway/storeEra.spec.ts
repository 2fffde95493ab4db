import { expect } from 'chai';
import { StoreEra } from './storeEra.js';

describe('store era', () => {
  // Guards against keys confirmed by a restored store that has lost their revocation.
  it('guards against a read that validates keys before the restored store is complete again', () => {
    const storeEra = new StoreEra();
    storeEra.observe(0, 0);
    expect(storeEra.isComplete(1)).to.equal(true);
    storeEra.observe(1, 1000);
    storeEra.recordConfiguration(5, false, 1000);
    storeEra.recordConfiguration(5, false, 3000);
    expect(storeEra.isComplete(3199)).to.equal(false);
    expect(storeEra.isComplete(3200)).to.equal(true);
  });

  // Guards against keys refused for the whole grace period although the operator has written again.
  it('guards against a rewritten configuration that validates nothing', () => {
    const storeEra = new StoreEra();
    storeEra.observe(0, 0);
    storeEra.observe(1, 1000);
    storeEra.recordConfiguration(5, false, 1000);
    storeEra.recordConfiguration(9, false, 1400);
    expect(storeEra.isComplete(1399)).to.equal(false);
    expect(storeEra.isComplete(1400)).to.equal(true);
  });

  // Guards against the first of several versions that the operator writes again, when a later one is known.
  it('guards against a rewritten but older version that counts as complete', () => {
    const storeEra = new StoreEra();
    storeEra.observe(0, 0);
    storeEra.observe(1, 1000);
    storeEra.recordConfiguration(5, true, 1000);
    storeEra.recordConfiguration(9, true, 1400);
    expect(storeEra.isComplete(1400)).to.equal(false);
    expect(storeEra.isComplete(3200, true)).to.equal(false);
    expect(storeEra.isComplete(11_000, true)).to.equal(true);
  });

  // Guards against an answer that was on its way during the restore and ends the grace period.
  it('guards against an answer of an older era that is taken for the current one', () => {
    const storeEra = new StoreEra();
    storeEra.observe(1, 0);
    expect(storeEra.observe(2, 1000)).to.equal(true);
    expect(storeEra.observe(1, 1100)).to.equal(false);
    expect(storeEra.observePeer(1, true, 1100)).to.equal(false);
    expect(storeEra.observePeer(undefined, false, 1100)).to.equal(false);
    expect([storeEra.current, storeEra.isComplete(1100)]).to.deep.equal([2, false]);
  });

  // Guards against a process that starts during the grace period and has no memory of the time before.
  it('guards against a new process that trusts a store which its peers know to be restored', () => {
    const peers = { restored: [2, false], unaware: [1, true], complete: [2, true] } as const;
    const outcomes = Object.entries(peers).map(([name, [era, isComplete]]) => {
      const storeEra = new StoreEra();
      storeEra.observe(2, 0);
      storeEra.observePeer(era, isComplete, 100);
      return [name, storeEra.isComplete(100)];
    });
    expect(Object.fromEntries(outcomes)).to.deep.equal({
      restored: false,
      unaware: false,
      complete: true,
    });
  });

  // Guards against revoked keys that processes without memory honour on each other's word.
  it('guards against processes that started together and take each other for evidence', () => {
    const storeEra = new StoreEra();
    storeEra.observe(2, 0);
    storeEra.observePeer(undefined, false, 100);
    storeEra.recordConfiguration(5, false, 150);
    expect([storeEra.isConfirmed(2199), storeEra.isComplete(2199)]).to.deep.equal([false, false]);
    expect([storeEra.isConfirmed(2200), storeEra.isComplete(2200)]).to.deep.equal([true, true]);
  });

  // Guards against keys refused for the grace period at a common start with a store that was never restored.
  it('guards against processes that wait for each other although the store was never restored', () => {
    const storeEra = new StoreEra();
    storeEra.observe(0, 0);
    expect([storeEra.isConfirmed(0), storeEra.isComplete(0)]).to.deep.equal([true, true]);
  });

  // Guards against a lone process that waits for peers for good.
  it('guards against a process without peers that stays unconfirmed after the grace period', () => {
    const storeEra = new StoreEra();
    storeEra.observe(2, 0);
    expect(storeEra.isConfirmed(2199)).to.equal(false);
    expect(storeEra.isConfirmed(2200)).to.equal(true);
  });

  // Guards against keys refused for the grace period at a host that comes back long after the restore.
  it('guards against a grace period that starts again although a peer has seen the data written again', () => {
    const storeEra = new StoreEra();
    storeEra.observe(1, 0);
    storeEra.observe(2, 60_000);
    expect(storeEra.isComplete(60_000)).to.equal(false);
    storeEra.observePeer(2, true, 60_010);
    expect(storeEra.isComplete(60_010)).to.equal(true);
  });
});
