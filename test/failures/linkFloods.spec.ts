import { expect } from 'chai';
import type { LinkFlood } from '../standins/floodingPeer.js';
import { linkFloods } from '../standins/floodingPeer.js';
import { listViolations, runEndlessLoad } from '../support/endlessCrowd.js';

const LINKS = 8;
const DURATION_MS = 4_000;
const TEST_TIMEOUT_MS = 60_000;

describe('peers that send frames without end', () => {
  for (const kind of Object.keys(linkFloods) as LinkFlood[]) {
    it(`guards against a gateway that fails its callers while peers flood its links; flood: ${kind}`, async () => {
      const outcome = await runEndlessLoad({
        parts: ['unframed'],
        callers: 0,
        paths: [],
        durationMs: DURATION_MS,
        flood: { kind, links: LINKS },
      });
      const { exit, peakBytes, ordinary, sentBytes, metrics, log } = outcome;
      const loopMaxMs = Number(/eventLoopMaxMs (\d+)/.exec(metrics)?.[1]);
      const peakMb = Math.round(peakBytes / 1024 / 1024);
      const sentMb = Math.round(sentBytes / 1024 / 1024);
      process.stdout.write(
        `    ${JSON.stringify({ exit, loopMaxMs, peakMb, sentMb, ordinary, lines: log.length })}\n`,
      );
      expect(listViolations(outcome)).to.deep.equal([]);
    }).timeout(TEST_TIMEOUT_MS);
  }
});
