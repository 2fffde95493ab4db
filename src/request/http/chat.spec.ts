import { expect } from 'chai';
import type { EntryFixture } from '../../../test/support/entryFixture.js';
import { startEntryFixture, waitUntil } from '../../../test/support/entryFixture.js';
import type { FakeAgentOptions } from '../../../test/support/fakeAgent.js';
import { sendChunks, sendEnd } from '../../../test/support/fakeAgent.js';

const PATH = '/v1/chat/completions';
const chat = { model: 'chat', stream: true, messages: [{ role: 'user', content: 'hello' }] };
type OnRequest = NonNullable<FakeAgentOptions['onRequest']>;

const createAgents = (onRequest: OnRequest): FakeAgentOptions[] =>
  ['chat-1', 'chat-2', 'chat-3'].map((upstream) => ({ upstream, service: 'chat', onRequest }));

function readText(sse: string): string {
  const events = sse.split('\n\n').filter((event) => event.startsWith('data: {'));
  const deltas = events.map((event) => {
    const value = JSON.parse(event.slice('data: '.length)) as {
      choices: { delta: { content?: string } }[];
    };
    return value.choices[0]?.delta.content ?? '';
  });
  return deltas.join('');
}

/** Reads a response until it ends or the connection is closed early. */
async function readStream(response: Response): Promise<{ text: string; broken: boolean }> {
  let text = '';
  const decoder = new TextDecoder();
  try {
    for await (const part of response.body as unknown as AsyncIterable<Uint8Array>)
      text += decoder.decode(part, { stream: true });
    return { text, broken: false };
  } catch {
    return { text, broken: true };
  }
}

describe('chat streams', () => {
  let fixture: EntryFixture;
  afterEach(() => fixture.close());

  it('guards against lost or duplicated tokens in a complete stream', async () => {
    fixture = await startEntryFixture(
      createAgents((message, link) => {
        sendChunks(link, message.attempt, ['a', ' "b"', '\n']);
        sendEnd(link, message.attempt, 3);
      }),
    );
    const text = await (await fixture.post(PATH, chat)).text();
    expect(readText(text)).to.equal('a "b"\n');
    expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
    const complete = await fixture.post(PATH, { ...chat, stream: false });
    expect(await complete.json()).to.deep.include({
      choices: [
        { index: 0, message: { role: 'assistant', content: 'a "b"\n' }, finish_reason: 'stop' },
      ],
      usage: { prompt_tokens: 3, completion_tokens: 3, total_tokens: 6 },
    });
  });

  it('guards against mixing a resumed stream with the broken one', async () => {
    const resumes: { after: number; text: string }[] = [];
    fixture = await startEntryFixture(
      createAgents((message, link, agent) => {
        resumes.push({ after: message.resumeAfter, text: message.resumeText });
        if (resumes.length === 1) {
          sendChunks(link, message.attempt, ['one ', 'two ']);
          setTimeout(() => {
            agent.destroyLinks();
          }, 50);
          return;
        }
        // A late chunk of the broken attempt must not reach the caller.
        link.send({ type: 'chunk', attempt: 'old', sequence: 2, tokens: ['WRONG'] });
        sendChunks(link, message.attempt, ['three']);
        sendEnd(link, message.attempt, 1);
      }),
    );
    const text = await (await fixture.post(PATH, chat)).text();
    expect(readText(text)).to.equal('one two three');
    expect(text.endsWith('data: [DONE]\n\n')).to.equal(true);
    expect(resumes).to.deep.equal([
      { after: 0, text: '' },
      { after: 2, text: 'one two ' },
    ]);
    expect(fixture.metrics.getCount('late_messages_dropped')).to.equal(1);
  });

  it('guards against ending a truncated stream as complete', async () => {
    fixture = await startEntryFixture(
      createAgents((message, link) => {
        sendChunks(link, message.attempt, ['x']);
        sendEnd(link, message.attempt, 2);
      }),
    );
    const { text, broken } = await readStream(await fixture.post(PATH, chat));
    expect(broken).to.equal(true);
    expect(text).to.contain('event: error').and.to.contain('"code":"answer_cut"');
    expect(text).to.not.contain('[DONE]');
    expect(fixture.metrics.getCount('broken_attempts')).to.equal(3);
  });

  it('guards against a gap in the chunks of an attempt', async () => {
    fixture = await startEntryFixture(
      createAgents((message, link) => {
        link.send({ type: 'chunk', attempt: message.attempt, sequence: 1, tokens: ['late'] });
        sendEnd(link, message.attempt, 1);
      }),
    );
    const response = await fixture.post(PATH, chat);
    expect(response.status).to.equal(502);
    expect(await response.text()).to.not.contain('late');
  });

  it('guards against work that continues after the caller has disconnected', async () => {
    fixture = await startEntryFixture(
      createAgents((message, link) => {
        sendChunks(link, message.attempt, ['x']);
      }),
    );
    const disconnect = new AbortController();
    const response = await fetch(fixture.url + PATH, {
      method: 'POST',
      body: JSON.stringify(chat),
      headers: { authorization: 'Bearer secret' },
      signal: disconnect.signal,
    });
    expect(response.status).to.equal(200);
    disconnect.abort();
    const countCancels = (): number =>
      fixture.agents.reduce((sum, agent) => sum + agent.countReceived('cancel'), 0);
    await waitUntil(() => countCancels() === 1);
    expect((fixture.entry.dump() as { attempts: number }).attempts).to.equal(0);
  });

  it('guards against charging the retry budget for refusals of draining agents', async () => {
    fixture = await startEntryFixture(
      createAgents((message, link) => {
        const { attempt } = message;
        link.send({ type: 'fail', attempt, code: 'draining', message: 'bye', started: false });
      }),
    );
    const response = await fixture.post(PATH, chat);
    expect(response.status).to.equal(503);
    expect(await response.json()).to.have.nested.property('error.code', 'draining');
    const dump = fixture.entry.dump() as { retryBudgets: Record<string, { tokens: number }> };
    expect(Object.values(dump.retryBudgets).map(({ tokens }) => tokens)).to.deep.equal([10]);
    const requests = fixture.agents.map((agent) => agent.countReceived('request'));
    expect(requests).to.deep.equal([1, 1, 1]);
  });

  it('guards against sending a request that crashed its upstreams to another one', async () => {
    fixture = await startEntryFixture(
      createAgents((message, link) => {
        const { attempt, fingerprint } = message;
        link.send({
          type: 'load',
          upstream: 'chat-1',
          service: 'chat',
          sequence: 1,
          running: 0,
          queued: 0,
          work: 0,
          slots: 4,
          tokensPerSecond: 0,
          accepting: true,
          draining: false,
          suspects: [{ fingerprint, crashes: 2, ageMs: 0 }],
          coveredSends: 1,
        });
        link.send({ type: 'fail', attempt, code: 'upstream_failed', message: '', started: true });
      }),
    );
    const response = await fixture.post(PATH, chat);
    expect(response.status).to.equal(422);
    const requests = fixture.agents.map((agent) => agent.countReceived('request'));
    expect(requests.reduce((sum, count) => sum + count, 0)).to.equal(1);
  });

  it('guards against truncating streams in a graceful shutdown', async () => {
    fixture = await startEntryFixture(
      createAgents((message, link) => {
        sendChunks(link, message.attempt, ['x']);
        setTimeout(() => {
          sendEnd(link, message.attempt, 1);
        }, 200);
      }),
    );
    const response = await fixture.post(PATH, chat);
    const drained = fixture.entry.drain();
    expect((await response.text()).endsWith('data: [DONE]\n\n')).to.equal(true);
    await drained;
    const refused = await fixture.post(PATH, chat).catch(() => undefined);
    expect(refused).to.equal(undefined);
  });
});
