import { expect } from '../../../test/support/snapshot.js';
import { decideRetry } from './decideRetry.js';
import { RetryBudget } from './retryBudget.js';

describe('retries', () => {
  it('guards against amplifying load in an outage', () => {
    const budget = new RetryBudget(0, 0.1, 10);
    let retries = 0;
    for (let index = 0; index < 1_000; index += 1) {
      budget.recordFirstAttempt(0);
      if (budget.tryTakeRetry(0)) retries += 1;
    }
    expect(retries).to.be.within(100, 110);
  });

  it('guards against an entry that never retries again after a small outage', () => {
    const budget = new RetryBudget(0, 0.1, 10);
    while (budget.tryTakeRetry(0));
    expect(budget.tryTakeRetry(1_000)).to.equal(false);
    expect(budget.tryTakeRetry(7_000)).to.equal(true);
  });

  it('guards against a changed retry decision', () => {
    const table: Record<string, string> = {};
    for (const code of ['draining', 'upstream_failed', 'answer_cut', 'bad_request'] as const)
      for (const started of [false, true])
        for (const repeatable of [false, true])
          for (const freeRetries of [0, 2]) {
            const name = `${code} started=${started} repeatable=${repeatable} free=${freeRetries}`;
            table[name] = decideRetry({ repeatable, freeRetries }, { code, started });
          }
    expect(table).toMatchSnapshot();
  });
});
