import { expect } from 'chai';
import type { EntryFixture } from '../../../test/support/entryFixture.js';
import { startEntryFixture } from '../../../test/support/entryFixture.js';
import type { FakeAgentOptions } from '../../../test/support/fakeAgent.js';
import { sendChunks, sendEnd } from '../../../test/support/fakeAgent.js';
import { defaults } from '../../defaults.js';

const CHAT = '/v1/chat/completions';
const PUMP_CALLS = '/v1/services/pump/calls';
const chat = { model: 'chat', messages: [{ role: 'user', content: 'hello' }] };
/** Between the times after which a silent agent counts as stalled and after which its link is closed. */
const PAUSE_MS = defaults.heartbeatTimeoutMs - 200;

/** Blocks the event loop, so that the process reads no sockets. */
function blockEventLoop(durationMs: number): void {
  const end = Date.now() + durationMs;
  while (Date.now() < end);
}

describe('pauses of an entry', () => {
  let fixture: EntryFixture;
  afterEach(() => fixture.close());

  const onRequest: FakeAgentOptions['onRequest'] = ({ attempt }, link) => {
    sendChunks(link, attempt, ['x']);
    setTimeout(() => {
      sendEnd(link, attempt, 1, '{"ran":1}');
      // The link writes in the check phase, so the end waits in the socket when the pause begins.
      setImmediate(() => {
        blockEventLoop(PAUSE_MS);
      });
    }, 50);
  };

  // All agents counted as stalled because nothing had been read in the pause, and every attempt ended with `answer_cut`.
  it('guards against cutting a chat whose end was received during a pause', async () => {
    fixture = await startEntryFixture([{ upstream: 'chat-1', service: 'chat', onRequest }]);
    const response = await fixture.post(CHAT, { ...chat, stream: true });
    const text = await response.text().catch((error: unknown) => String(error));
    expect(text).to.contain('[DONE]');
  });

  // The call had run, and its caller was told that it may have.
  it('guards against cutting a call whose response was received during a pause', async () => {
    fixture = await startEntryFixture([{ upstream: 'pump-1', service: 'pump', onRequest }]);
    const response = await fixture.post(PUMP_CALLS, {});
    expect(response.status).to.equal(200);
    expect(await response.json()).to.deep.equal({ ran: 1 });
  });
});
