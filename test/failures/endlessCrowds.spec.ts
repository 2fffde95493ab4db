import { expect } from 'chai';
import type { EndlessPart } from '../standins/endlessWorker.js';
import { endlessParts } from '../standins/endlessWorker.js';
import type { EndlessLoad } from '../support/endlessCrowd.js';
import { listViolations, runEndlessLoad } from '../support/endlessCrowd.js';

const CALLERS = 60;
const FEW_CALLERS = 4;
const DURATION_MS = 4_000;
const TEST_TIMEOUT_MS = 60_000;
const streamPaths = ['/chat/1', '/talk/1'];
const plainPaths = ['/lookup/1', '/pay/1'];
const streamParts: ReadonlySet<EndlessPart> = new Set([
  'event',
  'eventLines',
  'comments',
  'repeatedEvent',
  'manyComments',
  'newEvents',
]);

describe('upstreams that send bytes without end', () => {
  async function check(load: Omit<EndlessLoad, 'durationMs'>): Promise<void> {
    const outcome = await runEndlessLoad({ ...load, durationMs: DURATION_MS });
    const { exit, peakBytes, ordinary, others } = outcome;
    const figures = { exit, peakMb: Math.round(peakBytes / 1024 / 1024), ordinary, others };
    process.stdout.write(`    ${JSON.stringify(figures)}\n`);
    expect(listViolations(outcome)).to.deep.equal([]);
  }

  for (const part of endlessParts) {
    const paths = streamParts.has(part) ? streamPaths : plainPaths;
    // A gateway ran out of memory, or answered nobody in time, while it read what a faulty upstream sent.
    it(`guards against a gateway that fails its other callers; endless part: ${part}`, async () => {
      await check({ parts: [part], callers: CALLERS, paths });
    }).timeout(TEST_TIMEOUT_MS);
  }

  for (const part of ['byteChunks', 'manyComments'] as const) {
    // Four callers were enough to end the process.
    it(`guards against memory for few responses of many parts; endless part: ${part}`, async () => {
      const paths = streamParts.has(part) ? streamPaths : plainPaths;
      await check({ parts: [part], callers: FEW_CALLERS, paths });
    }).timeout(TEST_TIMEOUT_MS);
  }

  it('guards against a gateway that fails its other callers; all endless parts in turn', async () => {
    await check({ parts: endlessParts, callers: CALLERS, paths: [...plainPaths, ...streamPaths] });
  }).timeout(TEST_TIMEOUT_MS);

  it('guards against requests that a planned stop cuts while upstreams send bytes without end', async () => {
    const paths = [...plainPaths, ...streamPaths];
    await check({ parts: endlessParts, callers: CALLERS, paths, isStopped: true });
  }).timeout(TEST_TIMEOUT_MS);
});
