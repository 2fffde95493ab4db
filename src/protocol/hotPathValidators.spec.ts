import { expect } from 'chai';
import fc from 'fast-check';
import { hotPathValidators } from './hotPathValidators.js';
import type { MessageType } from './messages.js';
import { messageRegistry } from './messages.js';

const id = fc.string({ minLength: 1, maxLength: 256 });
const count = fc.nat();
const number = fc.double({ noNaN: true, noDefaultInfinity: true });
const bytes = fc.uint8Array({ maxLength: 8 });
const usage = fc.record({ promptTokens: count, outputTokens: count });

const outcome = fc.constantFrom('begun', 'done', 'refused', 'unknown');
const report = fc.record(
  {
    group: id,
    epoch: count,
    rank: count,
    size: count,
    isOpen: fc.boolean(),
    startedAt: count,
    pass: count,
    map: count,
    prepared: fc.option(count, { nil: undefined }),
    armed: fc.option(fc.record({ version: count, pass: count }), { nil: undefined }),
    held: fc.option(count, { nil: undefined }),
    running: count,
    queued: count,
  },
  {
    requiredKeys: [
      'group',
      'epoch',
      'rank',
      'size',
      'isOpen',
      'startedAt',
      'pass',
      'map',
      'running',
      'queued',
    ],
  },
);

/** Messages as processes of this version send them. */
const messages: Readonly<Record<string, fc.Arbitrary<Readonly<Record<string, unknown>>>>> = {
  chunk: fc.record({ attempt: id, sequence: count, tokens: fc.array(fc.string()) }),
  end: fc.record({
    attempt: id,
    chunks: count,
    status: count,
    body: bytes,
    finishReason: fc.string(),
    usage,
  }),
  request: fc.record({
    attempt: id,
    workspace: id,
    service: id,
    kind: fc.constantFrom('chat', 'call'),
    body: bytes,
    fingerprint: id,
    cost: fc.double({ min: 0, minExcluded: true, noNaN: true, noDefaultInfinity: true }),
    remainingMs: number,
    resumeAfter: count,
    resumeText: fc.string(),
  }),
  load: fc.record({
    upstream: id,
    service: id,
    sequence: count,
    running: count,
    queued: count,
    work: number,
    slots: count,
    tokensPerSecond: number,
    accepting: fc.boolean(),
    draining: fc.boolean(),
    suspects: fc.constant([]),
    coveredSends: count,
  }),
  rankSelections: fc.record({ epoch: count, scale: count, counts: bytes }),
  rankStatus: fc.record(
    { report, experts: fc.array(fc.array(count, { maxLength: 3 }), { maxLength: 3 }) },
    { requiredKeys: ['report'] },
  ),
  rankOrderReply: fc.record({ call: count, outcome }),
};

/** Values at the bounds of the fields, and values of other types. */
const boundaryValue = fc.oneof(
  fc.constantFrom<unknown>(-1, -0, 0, 0.5, NaN, Infinity, 2 ** 53, '', 'x'.repeat(257), null),
  fc.constantFrom<unknown>(undefined, [], {}, [1], ['a', undefined], true, 1n, new Uint8Array(1)),
  fc.record({ promptTokens: fc.constantFrom(-1, 1), outputTokens: count, more: count }),
  report,
  fc.array(fc.array(fc.constantFrom<unknown>(1, -1, 'a'), { maxLength: 2 }), { maxLength: 2 }),
  fc
    .tuple(report, fc.constantFrom('group', 'held', 'armed', 'unknownField'), fc.anything())
    .map(([fields, name, value]) => ({ ...fields, [name]: value })),
  fc.array(fc.record({ fingerprint: id, crashes: count, ageMs: count }), { maxLength: 2 }),
  fc.anything(),
);

describe('hot path validators', () => {
  for (const [type, fields] of Object.entries(messages)) {
    const check = hotPathValidators[type as MessageType]!;
    const schema = messageRegistry[type]!;

    it(`guards against valid ${type} messages that fall back to the schema`, () => {
      fc.assert(
        fc.property(fields, (message) => check({ type, ...message })),
        { seed: 1 },
      );
    });

    it(`guards against accepting ${type} messages that the schema rejects or changes`, () => {
      const names = fc.constantFrom(...Object.keys(fc.sample(fields, { seed: 1, numRuns: 1 })[0]!));
      const name = fc.oneof({ weight: 5, arbitrary: names }, fc.constant('unknownField'));
      const change = fc.tuple(name, boundaryValue, fc.boolean());
      const changes = fc.array(change, { maxLength: 2 });
      fc.assert(
        fc.property(fields, changes, (message, edits) => {
          const edited: Record<string, unknown> = { type, ...message };
          for (const [field, value, isRemoved] of edits) {
            if (isRemoved) Reflect.deleteProperty(edited, field);
            else edited[field] = value;
          }
          const parsed = schema.safeParse(edited);
          if (!check(edited)) return;
          expect(parsed.success).to.equal(true);
          expect(parsed.data).to.deep.equal(edited);
        }),
        { seed: 2, numRuns: 1_000 },
      );
    });
  }
});
