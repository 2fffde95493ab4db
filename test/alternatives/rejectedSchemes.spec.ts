import { expect } from 'chai';
import {
  LeaseHolder,
  selectHomeAgent,
  RecordingUpstream,
  RegisterReplica,
  DeduplicatingAgent,
  runWithMajority,
} from './rejectedSchemes.js';

describe('rejected order schemes execute an order twice', () => {
  it('home agent by hash: two entries with different configuration select different agents', () => {
    const upstream = new RecordingUpstream();
    const agents = [1, 2, 3].map(() => new DeduplicatingAgent(upstream));
    const key = 'disbursement-7';
    const staleView = agents;
    const freshView = agents.filter((agent) => agent !== selectHomeAgent(key, agents));
    selectHomeAgent(key, staleView).putOrder(key);
    // The response is lost; the caller retries through an entry with newer configuration.
    selectHomeAgent(key, freshView).putOrder(key);
    expect(upstream.countExecutions(key)).to.equal(2);
  });

  it('majority register: replicas on replaced hosts have lost the claim', () => {
    const upstream = new RecordingUpstream();
    const key = 'valve-12';
    const replicas = [1, 2, 3].map(() => new RegisterReplica());
    expect(runWithMajority(key, 'entry-a', replicas, upstream)).to.equal(true);
    // Two of three hosts are replaced during the lifetime of the order and lose their state.
    const replaced = [new RegisterReplica(), new RegisterReplica(), ...replicas.slice(2)];
    expect(runWithMajority(key, 'entry-b', replaced, upstream)).to.equal(true);
    expect(upstream.countExecutions(key)).to.equal(2);
  });

  it('lease: a holder paused between its check and its send executes after the lease has expired', () => {
    const upstream = new RecordingUpstream();
    const key = 'disbursement-8';
    const first = new LeaseHolder(upstream);
    const second = new LeaseHolder(upstream);
    first.renewLease(0, 1000);
    const pausedSend = first.prepareOrder(key, 900);
    second.renewLease(5000, 1000);
    second.prepareOrder(key, 5100)?.();
    pausedSend?.();
    expect(upstream.countExecutions(key)).to.equal(2);
  });
});
