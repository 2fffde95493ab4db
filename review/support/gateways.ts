import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';

const READY_TIMEOUT_MS = 15_000;

/** Address and ports of one gateway; every gateway has an address of its own on the loopback network. */
export interface GatewayAddress {
  readonly ip: string;
  readonly front: number;
  readonly ready: number;
  readonly links: number;
}

export interface GatewayOptions {
  readonly node: string;
  readonly zone: string;
  readonly address: GatewayAddress;
  readonly seeds: readonly string[];
  readonly storeAddress: string;
  readonly folder: string;
}

/** One process of the gateway, started with the command and the template of the deploy file. */
export class GatewayProcess {
  private child: ChildProcess | undefined;
  private exit: Promise<string> = Promise.resolve('not started');
  starts = 0;

  constructor(private readonly options: GatewayOptions) {}

  get address(): GatewayAddress {
    return this.options.address;
  }

  get node(): string {
    return this.options.node;
  }

  start(): void {
    const { folder, node } = this.options;
    const settings = join(folder, `${node}.ini`);
    writeFileSync(settings, this.renderSettings());
    this.starts += 1;
    const args = ['--max-old-space-size=128', 'target/parsleyfold.cjs', 'gateway'];
    const child = spawn('node', args, {
      env: { PATH: process.env.PATH ?? '', PARSLEYFOLD_SETTINGS: settings },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${node}.log`), { flags: 'a' });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    this.child = child;
    this.exit = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        log.end();
        resolve(signal ?? `code ${code ?? 'unknown'}`);
      });
    });
  }

  send(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Resolves with the signal or the exit code that ended the process. */
  waitForExit(): Promise<string> {
    return this.exit;
  }

  isRunning(): boolean {
    return this.child?.exitCode === null && this.child.signalCode === null;
  }

  /** Resolves once the readiness check of the platform succeeds. */
  async waitUntilReady(): Promise<void> {
    const deadlineAt = Date.now() + READY_TIMEOUT_MS;
    while (!(await this.isReady())) {
      if (Date.now() > deadlineAt) throw new Error(`${this.node} is not ready`);
      await sleep(50);
    }
  }

  isReady(): Promise<boolean> {
    const { ip, ready } = this.options.address;
    return new Promise((resolve) => {
      const call = request({ host: ip, port: ready, path: '/ready', timeout: 900 }, (response) => {
        response.resume();
        resolve(response.statusCode === 200);
      });
      call.on('timeout', () => call.destroy());
      call.on('error', () => {
        resolve(false);
      });
      call.end();
    });
  }

  async kill(): Promise<void> {
    if (!this.isRunning()) return;
    this.send('SIGCONT');
    this.send('SIGKILL');
    await this.exit;
  }

  private renderSettings(): string {
    const { node, zone, address, seeds, storeAddress } = this.options;
    const { ip, front, ready, links } = address;
    const values: Readonly<Record<string, string>> = {
      node,
      zone,
      seeds: seeds.join(','),
      'bounds.graceS': '8',
      'bounds.revokeMs': '5000',
      'bounds.budgetWindowS': '10',
      'bounds.retryBudgetRatio': '0.2',
      'bounds.budgetExtra': '90',
      'listen.front': `${ip}:${front}`,
      'listen.ready': `${ip}:${ready}`,
      'listen.control': `${ip}:${links}`,
      'platform.address': storeAddress,
      'limits.memoryMb': '350',
      'limits.maxFds': '4100',
    };
    const template = readFileSync('deploy/gateway.ini', 'utf8');
    return template.replace(/\{\{([^}]+)\}\}/g, (_all, name: string) => {
      const value = values[name];
      if (value === undefined) throw new Error(`no value for ${name} of the template`);
      return value;
    });
  }
}

/**
 * Finds free ports.
 *
 * @param ip - Loopback address on which they have to be free
 * @param count - Number of ports
 * @returns Ports
 */
export async function findPorts(ip: string, count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  const ports: number[] = [];
  for (const server of servers) {
    await new Promise<void>((resolve) => server.listen(0, ip, resolve));
    const address = server.address();
    if (address !== null && typeof address === 'object') ports.push(address.port);
  }
  for (const server of servers) await new Promise((resolve) => server.close(resolve));
  return ports;
}

/** Chooses a part of the loopback network, as the port for metrics is the same at all gateways and cases. */
function chooseNetwork(): string {
  const drawOctet = (): number => 1 + Math.floor(Math.random() * 250);
  return `127.${drawOctet()}.${drawOctet()}`;
}

/** Creates a temporary folder for settings and logs; `remove` deletes it. */
export function createFolder(): { folder: string; remove: () => void } {
  const folder = mkdtempSync(join(tmpdir(), 'parsleyfold-review-'));
  return {
    folder,
    remove: () => {
      if (process.env.KEEP !== '1') rmSync(folder, { recursive: true, force: true });
    },
  };
}

/**
 * Prepares gateways that know each other as seeds.
 *
 * @param count - Number of gateways
 * @param storeAddress - Address of the store, or opens one for a gateway
 * @param folder - Folder for settings and logs
 * @returns Gateways that have not been started
 */
export async function prepareGateways(
  count: number,
  storeAddress: string | ((node: string) => Promise<string>),
  folder: string,
): Promise<GatewayProcess[]> {
  const zones = ['ikeja', 'apapa', 'lekki'];
  const addresses: GatewayAddress[] = [];
  const network = chooseNetwork();
  for (let index = 0; index < count; index += 1) {
    const ip = `${network}.${index + 1}`;
    const [front = 0, ready = 0, links = 0] = await findPorts(ip, 3);
    addresses.push({ ip, front, ready, links });
  }
  const seeds = addresses.slice(0, 3).map(({ ip, links }) => `${ip}:${links}`);
  const gateways: GatewayProcess[] = [];
  for (const [index, address] of addresses.entries()) {
    const zone = zones[index % zones.length] ?? 'ikeja';
    const node = `front-${zone}-${index + 1}`;
    const store = typeof storeAddress === 'string' ? storeAddress : await storeAddress(node);
    const options = { node, zone, address, seeds, storeAddress: store, folder };
    gateways.push(new GatewayProcess(options));
  }
  return gateways;
}
