import { expect } from 'chai';
import { parseBoundedJson } from './parseBoundedJson.js';

const LENGTH = 4 * 1024 * 1024;
const repeat = (text: string): string =>
  Array.from({ length: Math.floor(LENGTH / (text.length + 1)) }, () => text).join(',');
const manyFields = Array.from({ length: 310_000 }, (_, index) => `"k${index}":1`).join(',');

const faulty: Readonly<Record<string, string>> = {
  'nested lists': '['.repeat(LENGTH),
  'nested lists that end': '['.repeat(LENGTH / 2) + ']'.repeat(LENGTH / 2),
  'nested objects': '{"a":'.repeat(LENGTH / 5),
  objects: `[${repeat('{}')}]`,
  lists: `[${repeat('[]')}]`,
  fields: `{${manyFields}}`,
};

const sound: Readonly<Record<string, unknown>> = {
  'a listing': {
    items: Array.from({ length: 500 }, (_, revision) => ({
      key: 'k"\\[{',
      value: 'x'.repeat(8_000),
      revision,
    })),
  },
  'many keys': Array.from({ length: 80_000 }, (_, revision) => ({
    key: `k\\${revision}`,
    revision,
  })),
  'many numbers': { counts: [Array.from({ length: 500_000 }, () => 1)] },
  'texts of brackets': ['[{:'.repeat(1_000_000), '\\', '"', '\\"'.repeat(1_000)],
};

describe('JSON of other processes', () => {
  for (const [name, text] of Object.entries(faulty)) {
    // 4 MB of nested lists ended a process with a heap of 128 MB.
    it(`guards against memory and time for a text within its limit; text: ${name}`, () => {
      expect(() => parseBoundedJson(text)).to.throw(SyntaxError, 'too many parts');
    });
  }

  for (const [name, value] of Object.entries(sound)) {
    it(`guards against a sound text that is refused or changed; text: ${name}`, () => {
      expect(
        JSON.stringify(parseBoundedJson(JSON.stringify(value))) === JSON.stringify(value),
      ).to.equal(true);
    });
  }

  it('guards against malformed text that is accepted, or a scan without an end', () => {
    for (const text of ['"'.padEnd(100_000, 'a'), '"'.padEnd(100_001, '\\'), ']'.repeat(100_000)])
      expect(() => parseBoundedJson(text)).to.throw(SyntaxError);
  });
});
