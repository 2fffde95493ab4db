import { expect } from 'chai';
import { openLink } from '../../src/connection/linkClient.js';
import { startAgent } from '../../src/process/agent/agentDaemon.js';
import { createLogger } from '../../src/process/logging.js';
import { Metrics } from '../../src/process/metrics.js';
import type { Message } from '../../src/protocol/messages.js';
import { serviceSchema, upstreamSchema, workspaceSchema } from '../../src/version/ticket/types.js';
import { startPlainService } from '../standins/plainService.js';
import { FrameRelay } from '../support/frameRelay.js';
import { waitMs, waitUntil } from '../support/waiting.js';

/** One-way latency of the link, as between availability zones. */
const LATENCY_MS = 40;

describe('stop review: agent that stops while a call is on its way', function () {
  this.timeout(20_000);

  // An idle agent closes its links 20 ms after it has announced its stop, so that the entry takes a call on its way for
  // one that may have run, and cannot send it to another agent.
  it('guards against a call without a refusal that was sent before the stop of an agent was announced', async () => {
    const plain = await startPlainService();
    const upstream = upstreamSchema.parse({
      service: 'desk',
      host: 'h1',
      availabilityZone: 'ikeja',
      address: '127.0.0.1:1',
      slots: 2,
    });
    const agent = await startAgent(
      {
        processId: 'agent-1',
        host: 'h1',
        availabilityZone: 'ikeja',
        listenHost: '127.0.0.1',
        linkPort: 0,
        operatorPort: 0,
        seeds: [],
        drainLimitMs: 3_000,
        upstream: 'desk-1',
        service: 'desk',
        upstreamUrl: plain.url,
        slots: 2,
      },
      {
        configuration: {
          getWorkspace: () =>
            workspaceSchema.parse({ tokenHashes: [], shares: { desk: 0.5 }, maxQueued: 4 }),
          getService: () => serviceSchema.parse({ kind: 'plain', orders: true }),
          getUpstream: () => upstream,
          listUpstreams: () => [],
          listServices: () => [],
          findWorkspaceByTokenHash: () => undefined,
          onChange: () => () => undefined,
        },
        logger: createLogger('agent-1'),
        metrics: new Metrics(),
      },
    );
    const relay = new FrameRelay(agent.linkPort);
    await relay.listen();
    relay.decide = () => ({ delayMs: LATENCY_MS });
    const received: Message[] = [];
    const record = (message: Message): void => {
      received.push(message);
    };
    const opened = await openLink({
      address: `127.0.0.1:${relay.port}`,
      self: () => ({ ...agent.createHello(), role: 'entry', processId: 'entry-1', upstreams: [] }),
      handlers: { end: record, fail: record, load: record, draining: record },
    });
    const link = opened.unwrap();
    await waitUntil('accepting', () =>
      received.some((message) => message.type === 'load' && message.accepting),
    );
    await waitMs(300);
    link.send({
      type: 'request',
      attempt: 'a-1',
      workspace: 'small',
      service: 'desk',
      kind: 'call',
      body: Buffer.from('{}'),
      fingerprint: 'f-1',
      cost: 1,
      remainingMs: 3_000,
      resumeAfter: 0,
      resumeText: '',
    });
    await agent.drain();
    await agent.stop();
    await waitMs(500);
    const outcomes = received.filter(({ type }) => type === 'fail' || type === 'end');
    const wasOpen = link.isOpen;
    relay.close();
    await plain.close();
    expect(outcomes, `link open: ${wasOpen}`).to.have.length(1);
  });
});
