import { expect } from 'chai';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import type { Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import type { Deployment } from '../../../test/support/deployment.js';
import { reservePorts } from '../../../test/support/ports.js';
import type { RunningProcess } from '../../../test/support/processes.js';
import { startProcess } from '../../../test/support/processes.js';
import { buildAgentSettings } from '../../../test/support/settingsFiles.js';
import { waitMs, waitUntil } from '../../../test/support/waiting.js';
import { openLink } from '../../connection/linkClient.js';
import type { PeerLink } from '../../connection/peerLink.js';

const RANKS = 8;
const PORTS_PER_RANK = 4;
const LOOPBACK = '127.0.0.1';
const WAIT_OPTIONS = { timeoutMs: 20_000 };

interface Steps {
  readonly steps: number;
  readonly mixed: number;
  readonly last: readonly { readonly step: number; readonly maps: readonly number[] }[];
}

/** Forwards connections, so that a test can disconnect them. */
const startProxy = async (port: number, target: number) => {
  const sockets = new Set<Socket>();
  const server = createServer((inbound) => {
    const outbound = connect(target, LOOPBACK);
    for (const [from, to] of [
      [inbound, outbound],
      [outbound, inbound],
    ] as const) {
      sockets.add(from);
      from.on('error', () => to.destroy());
      from.on('close', () => {
        to.destroy();
        sockets.delete(from);
      });
      from.pipe(to);
    }
  });
  await new Promise<void>((resolve) => server.listen(port, LOOPBACK, resolve));
  const disconnect = (): void => {
    for (const socket of sockets) socket.destroy();
  };
  const close = (): void => {
    server.close();
    disconnect();
  };
  return { disconnect, close };
};

const startGroup = async (fencing: 'checked' | 'ignored') => {
  const ports = await reservePorts(RANKS * PORTS_PER_RANK);
  const directory = mkdtempSync(join(tmpdir(), 'parsleyfold-'));
  const plans = Array.from({ length: RANKS }, (_, rank) => ({
    id: `rank-${rank}`,
    service: 'model',
    availabilityZone: 'ikeja',
    linkPort: ports[rank * PORTS_PER_RANK]!,
    operatorPort: ports[rank * PORTS_PER_RANK + 1]!,
    upstreamPort: ports[rank * PORTS_PER_RANK + 2]!,
    proxyPort: ports[rank * PORTS_PER_RANK + 3]!,
  }));
  const deployment = { entries: [], services: [], platformPort: 9 } as unknown as Deployment;
  const engines = await startProcess('ranks', 'test/standins/rankGroup.ts', [
    ...['--ports', plans.map(({ upstreamPort }) => upstreamPort).join(',')],
    ...['--fencing', fencing, '--layers', '2', '--driftMs', '1500'],
  ]);
  const proxies = await Promise.all(
    plans.map(({ proxyPort, linkPort }) => startProxy(proxyPort, linkPort)),
  );
  const experts = {
    ...{ layers: 2, expertsPerLayer: 16, slotsPerRank: 4, intervalMs: 400, horizonMs: 60_000 },
    ...{ bytesPerExpert: 1_000_000, weightBytesPerSecond: 1e9 },
  };
  const objects = [
    { key: 'service/model', ticket: 1, state: { kind: 'engine', fencing, experts } },
    ...plans.map(({ id, proxyPort, availabilityZone }, rank) => ({
      key: `upstream/${id}`,
      ticket: 1,
      state: {
        ...{ service: 'model', host: id, availabilityZone, slots: 2 },
        ...{ address: `${LOOPBACK}:${proxyPort}`, group: { id: 'g', rank } },
      },
    })),
  ];
  const links: PeerLink[] = [];
  const startAgent = async (rank: number): Promise<RunningProcess> => {
    const plan = plans[rank]!;
    const path = join(directory, `${plan.id}.ini`);
    writeFileSync(path, buildAgentSettings(deployment, plan));
    const agent = await startProcess(plan.id, 'src/cli/main.ts', ['agent', '--settings', path]);
    const opened = await openLink({
      address: `${LOOPBACK}:${plan.linkPort}`,
      handlers: {},
      self: () => ({
        ...{ type: 'hello', version: 1, role: 'entry', processId: 'test', incarnation: 'test' },
        ...{ host: 'test', availabilityZone: 'ikeja', upstreams: [] },
      }),
    });
    const link = opened.unwrap();
    links.push(link);
    link.send({ type: 'configuration', objects });
    return agent;
  };
  const agents = await Promise.all(plans.map((_, rank) => startAgent(rank)));
  const readJson = async (url: string): Promise<unknown> => (await request(url)).body.json();
  return {
    agents,
    startAgent,
    disconnectLinks: () => {
      for (const proxy of proxies) proxy.disconnect();
    },
    readSteps: async () =>
      (await readJson(`http://${LOOPBACK}:${plans[0]!.upstreamPort}/steps`)) as Steps,
    readGroup: async (rank: number) => {
      const url = `http://${LOOPBACK}:${plans[rank]!.operatorPort}/dump`;
      return ((await readJson(url)) as { group: Record<string, unknown> }).group;
    },
    stop: async () => {
      for (const link of links) link.destroy('closed');
      for (const child of [...agents, engines]) child.send('SIGKILL');
      await Promise.all([...agents, engines].map((child) => child.exited));
      for (const proxy of proxies) proxy.close();
      rmSync(directory, { recursive: true, force: true });
    },
  };
};

describe('groups of agents', function () {
  this.timeout(90_000);

  for (const fencing of ['checked', 'ignored'] as const) {
    it(`guards against mixed steps and a stalled group under faults; engines: ${fencing}`, async () => {
      const group = await startGroup(fencing);
      const waitForChange = async (description: string): Promise<void> => {
        const before = (await group.readSteps()).last.at(-1)?.maps[0];
        const { steps } = await group.readSteps();
        await waitUntil(
          description,
          async () => {
            const now = await group.readSteps();
            return now.steps > steps + 50 && now.last.at(-1)?.maps[0] !== before;
          },
          WAIT_OPTIONS,
        );
      };
      try {
        await waitUntil(
          'first steps',
          async () => (await group.readSteps()).steps > 50,
          WAIT_OPTIONS,
        );
        await waitForChange('a placement change');
        for (let round = 0; round < 10; round += 1) {
          group.disconnectLinks();
          await waitMs(150);
        }
        await waitForChange('a change after disconnected links');
        await waitUntil(
          'a prepared rank',
          async () => (await group.readGroup(3)).preparedVersion !== undefined,
          { ...WAIT_OPTIONS, intervalMs: 2 },
        );
        group.agents[3]!.send('SIGKILL');
        group.agents[3] = await group.startAgent(3);
        await waitForChange('a change after a replaced agent');
        const { incarnation } = await group.readGroup(1);
        group.agents[0]!.send('SIGSTOP');
        await waitMs(2_500);
        group.agents[0]!.send('SIGCONT');
        await waitForChange('a change after a paused coordinator');
        expect((await group.readGroup(1)).incarnation).to.be.greaterThan(incarnation as number);
        expect((await group.readSteps()).mixed).to.equal(0);
      } catch (error) {
        const dumps = await Promise.all([0, 1, 3].map((rank) => group.readGroup(rank)));
        throw new Error(`${String(error)} ${JSON.stringify(dumps)}`);
      } finally {
        await group.stop();
      }
    });
  }
});
