import { expect } from 'chai';
import { LineSplitter, LineTooLongError } from './lineSplitter.js';

const MAX_BYTES = 8;

describe('line splitter', () => {
  const read = (parts: readonly Buffer[]): string[] => {
    const splitter = new LineSplitter(MAX_BYTES);
    return parts.flatMap((part) => [...splitter.readLines(part)]);
  };

  it('guards against lines that depend on how a stream is cut into parts', () => {
    const bytes = Buffer.from('é\n\nab\r\nabcdefgh\nrest');
    const expected = ['é', '', 'ab\r', 'abcdefgh'];
    expect(read([bytes])).to.deep.equal(expected);
    expect(read([...bytes].map((byte) => Buffer.of(byte)))).to.deep.equal(expected);
    for (let cut = 0; cut <= bytes.length; cut += 1)
      expect(read([bytes.subarray(0, cut), bytes.subarray(cut)])).to.deep.equal(expected);
  });

  it('guards against a line that is kept beyond its limit, with or without its end', () => {
    for (const text of ['abcdefghi', 'abcdefghi\n']) {
      expect(() => read([Buffer.from(text)])).to.throw(LineTooLongError);
      expect(() => read([...Buffer.from(text)].map((byte) => Buffer.of(byte)))).to.throw(
        LineTooLongError,
      );
    }
  });
});
