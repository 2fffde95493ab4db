import { expect } from 'chai';
import { PauseDetector } from '../pauseDetector.js';
import { StoreContact } from './storeContact.js';
import type { ReadError } from './types.js';

const createError = (code: ReadError['code']): ReadError => ({ code, message: '' });

describe('contact to the store', () => {
  it('guards against an outage that is assumed although no read failed while the process ran', () => {
    const contact = new StoreContact(new PauseDetector(0));
    expect(contact.mayHaveMissedOutage(0, 900)).to.equal(false);
    contact.recordFailure(createError('outdated'), 910);
    expect(contact.mayHaveMissedOutage(0, 920)).to.equal(false);
  });

  it('guards against an outage that goes unnoticed', () => {
    const contact = new StoreContact(new PauseDetector(0));
    contact.recordFailure(createError('refused'), 500);
    expect(contact.mayHaveMissedOutage(400, 600)).to.equal(true);
    expect(contact.mayHaveMissedOutage(600, 700)).to.equal(false);
  });

  it('guards against a pause of the process that goes unnoticed', () => {
    const contact = new StoreContact(new PauseDetector(0));
    expect(contact.mayHaveMissedOutage(0, 2_200)).to.equal(true);
    expect(contact.mayHaveMissedOutage(2_300, 2_400)).to.equal(false);
  });
});
