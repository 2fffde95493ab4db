import { expect } from 'chai';
import type { RawWorker } from '../../../../test/standins/rawWorker.js';
import { startRawWorker } from '../../../../test/standins/rawWorker.js';
import { createEngineAdapter } from './engine.js';
import type { ExchangeResult } from './types.js';

const END_LINE = '{"done":true,"finish_reason":"stop","prompt_tokens":1}\n';

describe('engine adapter', () => {
  let worker: RawWorker | undefined;
  afterEach(async () => {
    await worker?.close();
  });

  const run = async (isExpired: () => boolean): Promise<ExchangeResult> => {
    const { url } = worker ?? { url: '' };
    const adapter = createEngineAdapter(url);
    const result = await adapter.run({
      id: 'c-1',
      body: Buffer.from('{"prompt":"a"}'),
      resumeAfter: 0,
      resumeText: '',
      priority: 1,
      maxOutputTokens: 1,
      isExpired,
      signal: AbortSignal.timeout(1_000),
      onTokens: () => undefined,
    });
    await adapter.close();
    return result;
  };

  // Replaces the test of `guardExpiry`: a paused process sent work whose deadline had passed while its connection was opened.
  it('guards against work that expires while its connection is opened', async () => {
    worker = await startRawWorker('u-0', (socket) => {
      socket.end(`HTTP/1.1 200 OK\r\nContent-Length: ${END_LINE.length}\r\n\r\n${END_LINE}`);
    });
    let isConnected = false;
    const late = await run(() => {
      isConnected = worker?.openConnections === 1;
      return true;
    });
    expect(late).to.include({ kind: 'failed', code: 'timeout', started: false });
    expect(isConnected).to.equal(true);
    expect(worker.requests.length).to.equal(0);
    expect(await run(() => false)).to.include({ kind: 'done' });
    expect(worker.requests.length).to.equal(1);
  });
});
