import { expect } from 'chai';
import { createLogger, openLog } from './logging.js';
// Imported after the module under test, which sets the variable that Roarr reads at import time.
import { ROARR } from 'roarr';

describe('logging', () => {
  it('guards against daemons that log nothing', () => {
    const lines: string[] = [];
    const write = process.stderr.write.bind(process.stderr);
    const silent = ROARR.write;
    const logger = createLogger('entry-1');
    logger.error({}, 'before the log is open');
    process.stderr.write = (text) => lines.push(String(text)) > 0;
    try {
      openLog('warn');
      logger.info({}, 'below the level');
      logger.warn({ outcome: 'draining' }, 'at the level');
    } finally {
      process.stderr.write = write;
      ROARR.write = silent;
    }
    expect(lines).to.have.length(1);
    expect(JSON.parse(lines[0]!)).to.deep.include({ message: 'at the level' });
    expect(lines[0]).to.include('"processId":"entry-1"').and.to.include('"outcome":"draining"');
  });
});
