import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { mkdtempSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { request } from 'undici';
import { probeListener } from '../../src/connection/probeListener.js';
import { buildProgram } from './compiledPrograms.js';
import { reservePorts } from './ports.js';
import { rootDirectory } from './processes.js';
import { waitUntil } from './waiting.js';

const READY_TIMEOUT_MS = 20_000;

/** Ports on which a gateway program listens, on the loopback address. */
export interface GatewayPorts {
  readonly front: number;
  readonly ready: number;
  readonly links: number;
  readonly metrics: number;
}

export interface GatewayProgramOptions {
  readonly storePort: number;
  /** Time between SIGTERM and SIGKILL. */
  readonly stopLimitMs: number;
  readonly processId?: string;
  /** Free ports by default. */
  readonly ports?: GatewayPorts;
  /** Ports of the links of the other gateways. */
  readonly seedPorts?: readonly number[];
  /** Heap limit of the process; that of Node by default. */
  readonly heapMb?: number;
  /** Compiled program, relative to the root; compiled for the tests by default. */
  readonly programFile?: string;
  /** Further sections of the settings file. */
  readonly sections?: readonly string[];
}

/** The gateway program as the deployment starts it, in a process of its own. */
export interface GatewayProgram {
  readonly child: ChildProcess;
  readonly processId: string;
  readonly url: string;
  readonly readyUrl: string;
  readonly metricsUrl: string;
  readonly linksPort: number;
  /** Lines of its log, in order. */
  readonly log: readonly string[];
  /** Resolves with the exit code, or the signal that ended the process. */
  readonly ended: Promise<number | string | null>;
}

/**
 * Reserves the ports of one gateway program.
 *
 * @returns Free ports
 */
export async function reserveGatewayPorts(): Promise<GatewayPorts> {
  const [front = 0, ready = 0, links = 0, metrics = 0] = await reservePorts(4);
  return { front, ready, links, metrics };
}

/**
 * Starts the gateway program without waiting until it is ready.
 *
 * @param options - Store, limits and ports
 * @returns The started program
 */
export async function startGatewayProgram(options: GatewayProgramOptions): Promise<GatewayProgram> {
  const { storePort, stopLimitMs, processId = 'gateway-1', seedPorts = [], heapMb } = options;
  const ports = options.ports ?? (await reserveGatewayPorts());
  const file = join(mkdtempSync(join(tmpdir(), 'stops-')), 'gateway.ini');
  const seeds = seedPorts.map((port) => `127.0.0.1:${port}`).join(',');
  const sections = [
    `[process]\nid=${processId}\navailability_zone=a\nstop_limit_seconds=${stopLimitMs / 1000}`,
    `[listen]\nfront=127.0.0.1:${ports.front}\nready=127.0.0.1:${ports.ready}`,
    `links=127.0.0.1:${ports.links}\nmetrics_port=${ports.metrics}`,
    `[peers]\nseeds=${seeds}\n[store]\naddress=127.0.0.1:${storePort}\n[keys]\nproof_ms=5000`,
    '[repeats]\nwindow_seconds=10\nratio=0.2\nextra=90',
    ...(options.sections ?? []),
  ];
  writeFileSync(file, sections.join('\n'));
  const program = options.programFile ?? (await buildProgram(rootDirectory, 'platform/main.ts'));
  const heap = heapMb === undefined ? [] : [`--max-old-space-size=${heapMb}`];
  const child = spawn(process.execPath, [...heap, program, 'gateway', file], {
    cwd: rootDirectory,
    // The bundle reads the path of its settings from the environment.
    env: { ...process.env, PARSLEYFOLD_SETTINGS: file },
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  const log: string[] = [];
  let partialLine = '';
  child.stdout.setEncoding('utf8').on('data', (text: string) => {
    const lines = (partialLine + text).split('\n');
    partialLine = lines.pop() ?? '';
    log.push(...lines);
  });
  const ended = new Promise<number | string | null>((resolve) => {
    child.once('exit', (code, signal) => {
      resolve(signal ?? code);
    });
  });
  return {
    child,
    processId,
    url: `http://127.0.0.1:${ports.front}`,
    readyUrl: `http://127.0.0.1:${ports.ready}/ready`,
    metricsUrl: `http://127.0.0.1:${ports.metrics}/metrics`,
    linksPort: ports.links,
    log,
    ended,
  };
}

/**
 * Asks a gateway program whether it is ready for new connections, as the load balancer does.
 *
 * @param program - Gateway program
 * @returns Whether it answers 200
 */
export async function isProgramReady(program: GatewayProgram): Promise<boolean> {
  const { statusCode, body } = await request(program.readyUrl);
  await body.dump();
  return statusCode === 200;
}

/**
 * Waits until a gateway program is ready for new connections.
 *
 * @param program - Gateway program
 */
export async function waitUntilProgramReady(program: GatewayProgram): Promise<void> {
  await waitUntil('gateway ready', () => isProgramReady(program), {
    timeoutMs: READY_TIMEOUT_MS,
  });
}

/**
 * Waits until a gateway program that stops no longer accepts connections.
 *
 * @param program - Gateway program
 */
export async function waitUntilListenerClosed({ url }: GatewayProgram): Promise<void> {
  const { host } = new URL(url);
  await waitUntil('listener closed', async () => !(await probeListener(host)));
}
