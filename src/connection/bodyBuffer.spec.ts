import { expect } from 'chai';
import seedrandom from 'seedrandom';
import { BodyBuffer } from './bodyBuffer.js';

describe('buffer of a body', () => {
  it('guards against bytes that are lost, moved or added', () => {
    for (let seed = 1; seed <= 40; seed += 1) {
      const random = seedrandom(String(seed));
      const content = Buffer.from(
        Array.from({ length: Math.floor(random() * 300_000) }, () => Math.floor(random() * 256)),
      );
      const body = new BodyBuffer(random() < 0.5 ? content.length : Number.NaN);
      const maxPart = random() < 0.5 ? 40 : 150_000;
      let start = 0;
      while (start < content.length) {
        const part = content.subarray(start, start + 1 + Math.floor(random() * maxPart));
        body.add(part);
        start += part.length;
        expect(body.size).to.equal(start);
      }
      expect(body.take().equals(content), `seed ${seed}`).to.equal(true);
    }
  });

  it('guards against far more memory than the content takes', () => {
    const body = new BodyBuffer(Number.NaN);
    const part = Buffer.from('x');
    for (let size = 0; size < 200_000; size += 1) body.add(part);
    expect(body.capacity).to.be.at.most(200_000 + 64 * 1024);
  });

  it('guards against memory for a length that is only announced', () => {
    const body = new BodyBuffer(1_000_000);
    body.add(Buffer.from('x'));
    expect(body.capacity).to.be.at.most(1024);
  });

  it('guards against a copy of a body that comes in one part', () => {
    const part = Buffer.from('content');
    const body = new BodyBuffer(part.length);
    body.add(part);
    expect(body.take().buffer).to.equal(part.buffer);
  });
});
