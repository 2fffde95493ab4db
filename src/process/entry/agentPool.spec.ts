import { expect } from 'chai';
import type { EntryFixture } from '../../../test/support/entryFixture.js';
import { startEntryFixture, waitUntil } from '../../../test/support/entryFixture.js';
import { sendChunks, sendEnd } from '../../../test/support/fakeAgent.js';
import type { AttemptId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { MessageOf } from '../../protocol/messages.js';
import { upstreamSchema } from '../../version/ticket/types.js';
import { computeLinkLimit } from './agentPool.js';
import { AgentState } from './agentState.js';

describe('agents of an entry', () => {
  let fixture: EntryFixture | undefined;
  afterEach(async () => {
    await fixture?.close();
    fixture = undefined;
  });

  it('guards against truncating a stream when its upstream leaves the configuration', async () => {
    let finish = (): void => undefined;
    fixture = await startEntryFixture([
      {
        upstream: 'chat-1',
        service: 'chat',
        onRequest: ({ attempt }, link) => {
          sendChunks(link, attempt, ['x']);
          finish = () => {
            sendEnd(link, attempt, 1);
          };
        },
      },
    ]);
    const body = { model: 'chat', stream: true, messages: [{ role: 'user', content: 'a' }] };
    const response = await fixture.post('/v1/chat/completions', body);
    fixture.configuration.removeUpstream('chat-1');
    const next = await fixture.post('/v1/chat/completions', body);
    expect(next.status).to.equal(503);
    finish();
    expect((await response.text()).endsWith('data: [DONE]\n\n')).to.equal(true);
    await waitUntil(() => (fixture?.entry.dump() as { attempts: number }).attempts === 0);
  });

  const configured = upstreamSchema.parse({
    service: 'chat',
    host: 'h',
    availabilityZone: 'ikeja',
    address: '127.0.0.1:1',
    slots: 4,
  });

  it('guards against new work for an upstream whose host is leaving', () => {
    const leaving = new Set(['h']);
    const agent = new AgentState(toId<UpstreamId>('u1'), configured, (host) => leaving.has(host));
    expect(agent.toCandidate().draining).to.equal(true);
    leaving.clear();
    expect(agent.toCandidate().draining).to.equal(false);
  });

  it('guards against a number of links that grows with the number of services', () => {
    expect([1, 2, 5, 60].map((services) => computeLinkLimit(24, services))).to.deep.equal([
      24, 24, 12, 2,
    ]);
  });

  it('guards against counting the cost of a send twice or not at all', () => {
    const agent = new AgentState(toId<UpstreamId>('u1'), configured);
    const report: MessageOf<'load'> = {
      type: 'load',
      upstream: 'u1',
      service: 'chat',
      sequence: 1,
      running: 0,
      queued: 0,
      work: 30,
      slots: 4,
      tokensPerSecond: 0,
      accepting: true,
      draining: false,
      suspects: [],
      coveredSends: 2,
    };
    for (const cost of [10, 20, 40])
      agent.recordSend(toId<AttemptId>(`a${cost}`), toId('w'), cost, 0);
    expect(agent.toCandidate()).to.include({ reportedWork: 0, uncoveredWork: 70 });
    agent.applyReport(report, 1);
    expect(agent.toCandidate()).to.include({ reportedWork: 30, uncoveredWork: 40 });
    // A report that arrives out of order is ignored.
    agent.applyReport({ ...report, sequence: 0, work: 0, coveredSends: 0 }, 2);
    expect(agent.toCandidate()).to.include({ reportedWork: 30, uncoveredWork: 40 });
  });
});
