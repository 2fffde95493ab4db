import { expect } from 'chai';
import { openBoundedLog } from './boundedLog.js';
// Imported after the module under test, which sets the variable that Roarr reads at import time.
import { ROARR } from 'roarr';

describe('bounded log', () => {
  let previous: typeof ROARR.write;
  beforeEach(() => {
    previous = ROARR.write;
  });
  afterEach(() => {
    ROARR.write = previous;
  });

  it('guards against unbounded log output and blocking on the log consumer', () => {
    let now = 0;
    const written: string[] = [];
    const sink = { writableLength: 0, write: (text: string) => written.push(text) };
    openBoundedLog('info', sink, () => now);
    for (let line = 0; line < 1000; line += 1) ROARR.write('{}');
    expect(written.length).to.equal(400);
    now = 1000;
    ROARR.write('{"after":1}');
    expect(written.slice(400)).to.deep.equal([
      '{"message":"log lines left out","count":600}\n',
      '{"after":1}\n',
    ]);
    sink.writableLength = 1024 * 1024;
    ROARR.write('{}');
    expect(written.length).to.equal(402);
  });
});
