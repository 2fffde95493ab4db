import { expect } from 'chai';
import { listViolations, runEndlessLoad } from '../support/endlessCrowd.js';

const CALLERS = 60;
const DURATION_MS = 4_000;
/** One a second, also while the last requests end. */
const MAX_LOG_LINES = 10;
const TEST_TIMEOUT_MS = 60_000;
/** Largest send buffer of a connection on Linux; nothing beyond it leaves an upstream whose bytes are not read. */
const MAX_BYTES_PER_RESPONSE = 4 * 1024 * 1024;

describe('upstreams that send bytes on connections without a request', () => {
  for (const part of ['idleBytes', 'idleBursts'] as const) {
    // A gateway read and dropped 17.5 GB in 12 s on the connections that show whether an upstream outlives a response.
    it(`guards against idle connections that are read without a bound; part: ${part}`, async () => {
      const outcome = await runEndlessLoad({
        parts: [part],
        callers: CALLERS,
        paths: ['/lookup/1'],
        durationMs: DURATION_MS,
      });
      const { exit, peakBytes, ordinary, others, sentBytes, log, metrics } = outcome;
      const responses = Object.values(others.statuses).reduce((sum, count) => sum + count, 0);
      const sentMb = Math.round(sentBytes / 1024 / 1024);
      const peakMb = Math.round(peakBytes / 1024 / 1024);
      const loopMaxMs = Number(/eventLoopMaxMs (\d+)/.exec(metrics)?.[1]);
      process.stdout.write(
        `    ${JSON.stringify({ exit, loopMaxMs, peakMb, sentMb, responses, ordinary, others })}\n`,
      );
      expect(listViolations(outcome)).to.deep.equal([]);
      expect(responses).to.be.greaterThan(0);
      expect(sentBytes).to.be.lessThan(responses * MAX_BYTES_PER_RESPONSE);
      const faults = /^parsleyfold_connection_faults_idle_bytes_total (\d+)$/m.exec(metrics);
      expect(Number(faults?.[1])).to.be.greaterThan(0);
      const lines = log.filter((line) => line.includes('"fault":"idle_bytes"'));
      expect(lines.length).to.be.within(1, MAX_LOG_LINES);
    }).timeout(TEST_TIMEOUT_MS);
  }
});
