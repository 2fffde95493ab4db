import { expect } from 'chai';
import { z } from 'zod';
import { createListSchema } from './createListSchema.js';

const schema = createListSchema(createListSchema(z.number()));

describe('lists of other processes', () => {
  it('guards against an issue for each of many unexpected items', () => {
    const parsed = schema.safeParse([Array.from({ length: 500_000 }, () => 'a'), 1]);
    expect(parsed.error?.issues.length).to.equal(1);
  });

  it('guards against a sound list that is refused, or another value that is accepted', () => {
    expect(schema.safeParse([[1, 2], []]).data).to.deep.equal([[1, 2], []]);
    for (const value of [undefined, null, {}, 'a', [1], [[1], ['2']]])
      expect(schema.safeParse(value).success).to.equal(false);
  });
});
