import { expect } from 'chai';
import { createLogger, openLog } from './logging.js';
// Imported after the module under test, which sets the variable that Roarr reads at import time.
import { ROARR } from 'roarr';

describe('logging', () => {
  /** Lines that are written to an open log. */
  function collectLines(log: () => void): string[] {
    const lines: string[] = [];
    const write = process.stderr.write.bind(process.stderr);
    const silent = ROARR.write;
    process.stderr.write = (text) => lines.push(String(text)) > 0;
    try {
      openLog('warn');
      log();
    } finally {
      process.stderr.write = write;
      ROARR.write = silent;
    }
    return lines;
  }

  it('guards against daemons that log nothing', () => {
    const logger = createLogger('entry-1');
    logger.error({}, 'before the log is open');
    const lines = collectLines(() => {
      logger.info({}, 'below the level');
      logger.warn({ outcome: 'draining' }, 'at the level');
    });
    expect(lines).to.have.length(1);
    expect(JSON.parse(lines[0]!)).to.deep.include({ message: 'at the level' });
    expect(lines[0]).to.include('"processId":"entry-1"').and.to.include('"outcome":"draining"');
  });
  it('guards against lines as long as the id that a caller has chosen', () => {
    const logger = createLogger('entry-1');
    const ids = ['i'.repeat(128), 'i'.repeat(15_000)];
    const lines = collectLines(() => {
      for (const requestId of ids) logger.warn({ requestId }, 'request ended');
    });
    const logged = lines.map(
      (line) => (JSON.parse(line) as { context: { requestId: string } }).context.requestId,
    );
    expect(logged).to.deep.equal([ids[0], `${'i'.repeat(128)}... (15000 characters)`]);
  });
});
