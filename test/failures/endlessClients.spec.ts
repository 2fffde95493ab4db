import { fork } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { dirname, join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { fileURLToPath } from 'node:url';
import { expect } from 'chai';
import { defaults } from '../../src/defaults.js';
import type { EndlessPart } from '../standins/endlessWorker.js';
import { endlessParts } from '../standins/endlessWorker.js';
import type { RawWorker } from '../standins/rawWorker.js';
import { startRawWorker } from '../standins/rawWorker.js';
import type { ClientMeasurement, ClientRun } from '../support/clientHost.js';
import { buildProgram } from '../support/compiledPrograms.js';
import type { UpstreamClient, UpstreamClientName } from '../support/upstreamClients.js';
import { upstreamClients } from '../support/upstreamClients.js';
import { waitUntil } from '../support/waiting.js';

const rootDirectory = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const MIB = 1024 * 1024;
const CALLS = 8;
/** A call may end this much after its time limit. */
const TIME_MARGIN_MS = 500;
/** Young generation, code and the buffers of a read, on top of what the calls may hold. */
const MEMORY_MARGIN_BYTES = 48 * MIB;
/** Sent, but not read: buffers of both sockets of a connection. */
const SOCKET_BUFFER_BYTES = 8 * MIB;
/** Framing for each byte of content, and the byte; see `FramingMeter`. */
const BYTES_PER_CONTENT_BYTE = 17;
const MAX_DELAY_MS = 300;
/** A process that reports nothing this long after the time limit of its calls is stuck. */
const MAX_REPORT_MS = 8_000;
const statuses = ['600', '700', '999', '000', '099', '', '206', '304'];

/** Parts that a client may take as an answer, as a sound response precedes the bytes. */
const soundParts: ReadonlySet<EndlessPart> = new Set(['soundThenBytes']);

interface EndlessHost {
  readonly addresses: ReadonlyMap<EndlessPart, string>;
  readSentBytes(): Promise<number>;
}

describe('clients of upstreams that send bytes without end', function () {
  this.timeout(180_000);
  const children: ChildProcess[] = [];
  let endless: EndlessHost;
  let clients: ChildProcess;

  before(async () => {
    endless = await startEndlessHost();
  });
  beforeEach(async () => {
    clients = await startClientHost();
  });
  afterEach(() => {
    clients.kill('SIGKILL');
  });
  after(() => {
    for (const child of children) child.kill('SIGKILL');
  });

  async function startEndlessHost(): Promise<EndlessHost> {
    const program = await buildProgram(rootDirectory, 'test/support/endlessHost.ts');
    const child = fork(program, endlessParts, {
      stdio: ['ignore', 'pipe', 'inherit', 'ipc'],
      execArgv: [],
    });
    children.push(child);
    let output = '';
    child.stdout?.setEncoding('utf8').on('data', (text: string) => (output += text));
    await waitUntil('endless workers started', () => output.includes('\n'));
    const { workers } = JSON.parse(output) as { workers: { port: number }[] };
    const addresses = new Map(
      endlessParts.map((part, index) => [part, `127.0.0.1:${workers[index]?.port}`]),
    );
    const readSentBytes = async (): Promise<number> => {
      const answer = once(child, 'message');
      child.send('sentBytes');
      return Number((await answer)[0]);
    };
    return { addresses, readSentBytes };
  }

  async function startClientHost(): Promise<ChildProcess> {
    const program = await buildProgram(rootDirectory, 'test/support/clientHost.ts');
    const child = fork(program, { execArgv: ['--expose-gc'] });
    children.push(child);
    await once(child, 'message');
    return child;
  }

  /** Runs some calls of a client. Undefined if its process has ended, or does not report long after the time limit. */
  async function measure(run: ClientRun): Promise<ClientMeasurement | undefined> {
    if (clients.exitCode !== null || clients.signalCode !== null) clients = await startClientHost();
    const stop = new AbortController();
    const { signal } = stop;
    const answer = once(clients, 'message', { signal });
    const end = once(clients, 'exit', { signal });
    clients.send(run);
    const maxMs = upstreamClients[run.client].timeLimitMs + MAX_REPORT_MS;
    const late = sleep(maxMs, undefined, { signal });
    const messages = (await Promise.race([answer, end, late])) as unknown[] | undefined;
    for (const wait of [answer, end, late]) wait.catch(() => undefined);
    stop.abort();
    const measurement = messages?.[0];
    if (isMeasurement(measurement)) return measurement;
    clients.kill('SIGKILL');
    await waitUntil('process ended', () => clients.signalCode !== null);
    return undefined;
  }

  for (const [name, limits] of Object.entries(upstreamClients) as [
    UpstreamClientName,
    UpstreamClient,
  ][]) {
    // A process ended out of memory, or had no time for anything else, while a client read bytes without end.
    it(`guards against bytes without end that cost more than the limits of a client; ${name}`, async () => {
      const faults: string[] = [];
      for (const part of endlessParts) {
        const address = endless.addresses.get(part) ?? '';
        const sentBefore = await endless.readSentBytes();
        const measured = await measure({ client: name, calls: CALLS, address });
        const sentBytes = (await endless.readSentBytes()) - sentBefore;
        for (const fault of listFaults(part, limits, measured, sentBytes)) {
          faults.push(`${part}: ${fault}`);
        }
      }
      expect(faults).to.deep.equal([]);
    });
  }
});

function isMeasurement(value: unknown): value is ClientMeasurement {
  return typeof value === 'object' && value !== null;
}

function listFaults(
  part: EndlessPart,
  { timeLimitMs, maxBytes }: UpstreamClient,
  measured: ClientMeasurement | undefined,
  sentBytes: number,
): string[] {
  if (measured === undefined) return ['the process has ended or is stuck'];
  const { answered, slowestMs, memoryBytes, maxDelayMs, openConnections } = measured;
  // A body is held in parts and then as a whole.
  const maxMemoryBytes = CALLS * 2 * maxBytes + MEMORY_MARGIN_BYTES;
  const callBytes = maxBytes * BYTES_PER_CONTENT_BYTE + defaults.maxResponseFramingBytes;
  const maxSentBytes = CALLS * (callBytes + SOCKET_BUFFER_BYTES);
  const checks: [boolean, string][] = [
    [answered === 0 || soundParts.has(part), `${answered} answered`],
    [slowestMs < timeLimitMs + TIME_MARGIN_MS, `slowest ${slowestMs} ms`],
    [memoryBytes < maxMemoryBytes, `memory +${formatMib(memoryBytes)}`],
    [sentBytes < maxSentBytes, `read ${formatMib(sentBytes)}`],
    [maxDelayMs < MAX_DELAY_MS, `event loop delayed by ${maxDelayMs} ms`],
    [openConnections === 0, `${openConnections} connections open`],
  ];
  if (process.env.PRINT_MEASURED !== undefined)
    process.stdout.write(
      `${part}: ${JSON.stringify({ ...measured, memoryBytes: formatMib(memoryBytes), sent: formatMib(sentBytes) })}\n`,
    );
  return checks.filter(([isSound]) => !isSound).map(([, fault]) => fault);
}

function formatMib(bytes: number): string {
  return `${Math.round(bytes / MIB)} MB`;
}

describe('statuses that are none, to clients of upstreams', () => {
  let worker: RawWorker | undefined;
  afterEach(async () => {
    await worker?.close();
  });

  for (const [name, { call }] of Object.entries(upstreamClients)) {
    // A call of an agent passed 999 on as done, and a part of a body as the whole.
    it(`guards against a status that a client takes as an answer; ${name}`, async () => {
      const answered: string[] = [];
      const closes: (() => Promise<void> | void)[] = [];
      for (const status of statuses) {
        const text = status === '' ? '' : ` ${status} OK`;
        worker = await startRawWorker('u-0', (socket) => {
          socket.end(`HTTP/1.1${text}\r\nContent-Length: 2\r\n\r\n{}`);
        });
        const isAnswered = await call(`127.0.0.1:${worker.port}`, (close) => closes.push(close));
        if (isAnswered) answered.push(status);
        await waitUntil('connections closed', () => worker?.openConnections === 0);
        await worker.close();
      }
      for (const close of closes) await close();
      expect(answered).to.deep.equal([]);
    });
  }
});
