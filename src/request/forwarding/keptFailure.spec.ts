import { expect } from 'chai';
import { headerCodec } from '../../../platform/headerCodec.js';
import { CallerMemory } from '../../connection/callerMemory.js';
import { KeptFailure } from './keptFailure.js';

const BODY_BYTES = 100_000;
const MAX_BYTES = 250_000;

describe('error responses that are kept during another attempt', () => {
  const failure = {
    kind: 'answered',
    head: headerCodec.decodeResponse(500, {}),
    body: Buffer.alloc(BODY_BYTES),
  } as const;

  // The response of the first upstream was kept without a bound on all of them.
  it('guards against responses that take memory without a bound while requests are repeated', () => {
    const memory = new CallerMemory(MAX_BYTES);
    const kept = Array.from({ length: 10 }, (_, index) => {
      const response = new KeptFailure(memory, '');
      response.put(failure, index);
      return response;
    });
    expect(memory.describe().usedBytes).to.be.below(MAX_BYTES * 1.25);
    const taken = kept.map((response) => response.take());
    expect(taken.filter((response) => response !== undefined).length).to.be.within(1, 4);
    expect(memory.describe().usedBytes).to.equal(0);
  });
});
