import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { reservePorts } from '../../test/support/ports.js';

/** Arguments of the gateway role in `deploy/system.toml`. */
const PROGRAM = ['--max-old-space-size=128', 'target/parsleyfold.cjs', 'gateway'];
const HOST = '127.0.0.1';
const PORTS_PER_GATEWAY = 4;
const MAX_LOG_LINES = 20_000;

/** Fields of a small deployment that the template of the settings names; see `fleetbench wire`. */
const fields: Readonly<Record<string, string>> = {
  zone: 'ikeja',
  'bounds.graceS': '8',
  'bounds.revokeMs': '5000',
  'bounds.budgetWindowS': '10',
  'bounds.retryBudgetRatio': '0.2',
  'bounds.budgetExtra': '90',
  'limits.memoryMb': '350',
  'limits.maxFds': '4100',
};

/** A gateway program in a process of its own. */
export interface GatewayProcess {
  readonly node: string;
  readonly child: ChildProcess;
  /** Host and port for callers. */
  readonly front: { readonly host: string; readonly port: number };
  readonly readyUrl: string;
  readonly metricsUrl: string;
  readonly log: readonly string[];
  /** How the process has ended; undefined while it runs. */
  readonly end: () => string | undefined;
  /** Ends it at once, if it runs. */
  kill(): Promise<void>;
}

/**
 * Starts gateways with the command and the settings template of the deploy file, and waits until they are ready.
 *
 * @param count - Number of gateways
 * @param storePort - Port of the store on the loopback address
 * @returns The gateways, which know each other as seeds
 */
export async function startGateways(count: number, storePort: number): Promise<GatewayProcess[]> {
  const ports = await reservePorts(count * PORTS_PER_GATEWAY);
  const links = ports.slice(0, count);
  const seeds = links.slice(0, 3).map((port) => `${HOST}:${port}`);
  const started: GatewayProcess[] = [];
  for (const [index, link] of links.entries()) {
    const [front = 0, ready = 0, metrics = 0] = ports.slice(
      count + index * 3,
      count + index * 3 + 3,
    );
    const values: Readonly<Record<string, string>> = {
      ...fields,
      node: `front-ikeja-${index + 1}`,
      'listen.front': `${HOST}:${front}`,
      'listen.ready': `${HOST}:${ready}`,
      'listen.control': `${HOST}:${link}`,
      seeds: seeds.join(','),
      'platform.address': `${HOST}:${storePort}`,
    };
    started.push(startGateway(values, { front, ready, metrics }));
  }
  for (const gateway of started) await waitUntilReady(gateway);
  return started;
}

function startGateway(
  values: Readonly<Record<string, string>>,
  ports: { readonly front: number; readonly ready: number; readonly metrics: number },
): GatewayProcess {
  const directory = mkdtempSync(join(tmpdir(), 'review-'));
  const file = join(directory, 'settings.ini');
  const template = readFileSync('deploy/gateway.ini', 'utf8');
  const settings = template
    .replace(/\{\{([\w.]+)\}\}/g, (_match, name: string) => values[name] ?? '')
    // All gateways of the script share one address, so each has a metrics port of its own.
    .replace('[listen]', `[listen]\nmetrics_port=${ports.metrics}`);
  writeFileSync(file, settings);
  const { PATH = '', HOME = '' } = process.env;
  const child = spawn(process.execPath, PROGRAM, {
    env: { PATH, HOME, PARSLEYFOLD_SETTINGS: file },
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const log: string[] = [];
  const collect = (text: string): void => {
    if (log.length < MAX_LOG_LINES) log.push(...text.split('\n').filter((line) => line !== ''));
  };
  child.stdout.setEncoding('utf8').on('data', collect);
  child.stderr.setEncoding('utf8').on('data', collect);
  let end: string | undefined;
  const ended = new Promise<void>((resolve) => {
    child.once('exit', (code, signal) => {
      end = signal ?? `exit code ${code ?? 'unknown'}`;
      rmSync(directory, { recursive: true, force: true });
      resolve();
    });
  });
  return {
    node: values.node ?? '',
    child,
    front: { host: HOST, port: ports.front },
    readyUrl: `http://${HOST}:${ports.ready}/ready`,
    metricsUrl: `http://${HOST}:${ports.metrics}/metrics`,
    log,
    end: () => end,
    kill: async () => {
      if (end === undefined) child.kill('SIGKILL');
      await ended;
    },
  };
}

async function waitUntilReady({ readyUrl }: GatewayProcess): Promise<void> {
  for (let attempt = 0; attempt < 400; attempt += 1) {
    const status = await fetch(readyUrl).then(
      (response) => response.status,
      () => 0,
    );
    if (status === 200) return;
    await sleep(50);
  }
  throw new Error('a gateway did not become ready');
}
