import { expect } from 'chai';
import { request } from 'undici';
import { openLink } from '../../src/connection/linkClient.js';
import type { PeerLink } from '../../src/connection/peerLink.js';
import { defaults } from '../../src/defaults.js';
import type { MessageOf } from '../../src/protocol/messages.js';
import type { EngineStart } from '../standins/engine.js';
import { ChatCallers, countCodes, countVerdicts } from '../support/chatCaller.js';
import { startCluster } from '../support/cluster.js';
import { buildDeployment, countPorts } from '../support/deployment.js';
import { reduceOutline, unionOutline } from '../support/outlines.js';
import { reservePorts } from '../support/ports.js';
import { waitMs } from '../support/waiting.js';

const SERVICE = 'relief-assistant';
const PAUSE_MS = 5_000;
/** Shorter than the pause, so that all work held by the paused processes expires during it. */
const DEADLINE_MS = 2_000;
/** Tolerance for work buffered in the sockets of the paused agent when it resumes; all processes share one clock. */
const CLOCK_MARGIN_MS = 50;
const CALLERS = 24;
const TEST_TIMEOUT_MS = 60_000;

async function openTestLink(port: number): Promise<PeerLink> {
  const opened = await openLink({
    address: `127.0.0.1:${port}`,
    handlers: {},
    self: () => ({
      type: 'hello',
      version: defaults.protocolVersion,
      role: 'entry',
      processId: 'test-entry',
      incarnation: 'test-entry-1',
      host: 'test-entry',
      availabilityZone: 'ikeja',
      upstreams: [],
    }),
  });
  return opened.unwrap();
}

function createRequest(prompt: string): MessageOf<'request'> {
  return {
    type: 'request',
    attempt: `test.${prompt}`,
    workspace: 'branch-ikeja',
    service: SERVICE,
    kind: 'chat',
    body: Buffer.from(JSON.stringify({ prompt, max_tokens: 4 })),
    fingerprint: prompt,
    cost: 4,
    remainingMs: DEADLINE_MS,
    resumeAfter: 0,
    resumeText: '',
  };
}

describe('paused processes', function () {
  this.timeout(TEST_TIMEOUT_MS);

  it('guards against wrong answers and expired work after SIGSTOP and SIGCONT', async () => {
    const outline = reduceOutline(unionOutline, { [SERVICE]: 3, 'payout-ledger': 0 });
    const deployment = buildDeployment(outline, await reservePorts(countPorts(outline)));
    const cluster = await startCluster(deployment);
    try {
      const urls = cluster.entries.map(({ httpUrl }) => httpUrl);
      const callers = new ChatCallers(CALLERS, (caller, index) => ({
        url: urls[caller % urls.length] ?? '',
        model: SERVICE,
        workspace: 'branch-ikeja',
        prompt: `paused ${index}`,
        maxTokens: 24,
        stream: index % 2 === 0,
        deadlineMs: DEADLINE_MS,
      }));
      await waitMs(500);
      const entry = cluster.entries[0]!;
      const agent = cluster.agents[0]!;
      const pausedAt = Date.now();
      const link = await openTestLink(agent.plan.linkPort);
      for (const { process } of [entry, agent]) process.send('SIGSTOP');
      // This request is buffered in the socket of the paused agent until it resumes.
      link.send(createRequest('paused in socket'));
      await waitMs(PAUSE_MS);
      for (const { process } of [entry, agent]) process.send('SIGCONT');
      const resumedAt = Date.now();
      await waitMs(1_500);
      const results = await callers.stop();
      const response = await request(`${agent.upstreamUrl}/starts`);
      const starts = (await response.body.json()) as EngineStart[];

      const counts = countVerdicts(results);
      const details = JSON.stringify({ counts, codes: countCodes(results) });
      expect(counts.wrong + counts.truncated, details).to.equal(0);
      const sentAt = new Map(results.map(({ prompt, startedAt }) => [prompt, startedAt]));
      sentAt.set('paused in socket', pausedAt);
      const late = starts.filter(({ prompt, time }) => {
        const text = /paused (\d+|in socket)/.exec(prompt)?.[0] ?? '';
        return time > (sentAt.get(text) ?? Infinity) + DEADLINE_MS + CLOCK_MARGIN_MS;
      });
      expect(late, 'expired work sent to the engine').to.deep.equal([]);
      const duringPause = results.filter(
        ({ url, verdict, startedAt, endedAt }) =>
          url === urls[1] && verdict === 'complete' && startedAt > pausedAt && endedAt < resumedAt,
      );
      expect(duringPause.length, details).to.be.at.least(20);
      const afterResume = results.filter(
        ({ url, verdict, startedAt }) =>
          url === urls[0] && verdict === 'complete' && startedAt > resumedAt,
      );
      expect(afterResume.length, details).to.be.at.least(1);
    } finally {
      await cluster.stop();
    }
  });
});
