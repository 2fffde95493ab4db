import { expect } from 'chai';
import { request as fetchText } from 'undici';
import { formatHead } from '../standins/rawWorker.js';
import type { GatewayProgram } from '../support/gatewayProgram.js';
import { RawCaller } from '../support/rawCaller.js';
import type { Responder } from '../support/stopFixture.js';
import { formatTimedRequest, listResponses, respondByPath } from '../support/stopFixture.js';
import type { StoppingGateway } from '../support/stoppingGateway.js';
import { startStoppingGateway } from '../support/stoppingGateway.js';
import { waitUntil } from '../support/waiting.js';

/** A payment of unknown duration has no time left before the listener closes. */
const STOP_LIMIT_MS = 4_000;
const CALLER_TIMEOUT_MS = 8_000;
/** The time limit of such a request lies beyond that of the stop. */
const LONG_DEADLINE_MS = 20_000;

interface GatewayDump {
  readonly active: number;
  readonly waiting: Readonly<Record<string, number>>;
}

describe('requests that wait at a stopping gateway', function () {
  this.timeout(40_000);
  let gateway: StoppingGateway;
  let program: GatewayProgram;

  const start = async (responders: readonly Responder[]): Promise<void> => {
    gateway = await startStoppingGateway({
      stopLimitMs: STOP_LIMIT_MS,
      routeTimeoutMs: LONG_DEADLINE_MS,
      responders,
      slots: 1,
    });
    ({ program } = gateway);
  };
  afterEach(() => gateway.close());

  const send = (path: string, id: string): RawCaller => {
    const caller = new RawCaller(program.url);
    caller.send(formatTimedRequest(path, id, 'question', LONG_DEADLINE_MS));
    return caller;
  };
  const waitForCounts = async (active: number, waiting: number): Promise<void> => {
    await waitUntil('requests active and waiting', async () => {
      const { body } = await fetchText(program.metricsUrl.replace('/metrics', '/dump'));
      const dump = (await body.json()) as GatewayDump;
      return dump.active === active && (dump.waiting.assistant ?? 0) === waiting;
    });
  };
  /** Waits for the end of the process, and lists the requests that it ended only at the limit. */
  const listUnfinished = async (): Promise<string[]> => {
    await waitUntil('stopped', () => program.log.some((line) => line.includes('gateway stopped')));
    const lines = program.log.filter((line) => line.includes('request unfinished at the stop'));
    return lines.map((line) => /"requestId":"([^"]*)"/.exec(line)?.[1] ?? line);
  };
  const describeRefusal = (caller: RawCaller): object => {
    const { status, body, end } = listResponses(caller)[0] ?? {};
    const delay = /Retry-After: *([\d.]+)/i.exec(caller.received)?.[1];
    return { status, code: /draining/.exec(body ?? '')?.[0], end, hasDelay: Number(delay) > 0 };
  };
  const refused = { status: 503, code: 'draining', end: 'complete', hasDelay: true };

  // A request that waits for capacity, or whose body is still on its way, is told only at the limit that it has no time.
  it('guards against a request that waits until the limit although it has no time to run', async () => {
    await start([respondByPath]);
    const holder = send('/pay/19000', 'holder');
    await waitUntil('sent', () => gateway.listRuns().length === 1);
    const waiting = send('/pay/100', 'waiting');
    const reading = new RawCaller(program.url);
    const text = formatTimedRequest('/pay/100', 'reading', 'question', LONG_DEADLINE_MS);
    reading.send(text.slice(0, -3));
    await waitForCounts(3, 1);
    program.child.kill('SIGTERM');
    await Promise.all(
      [holder, waiting, reading].map((caller) => caller.waitForEnd(CALLER_TIMEOUT_MS)),
    );
    expect(await listUnfinished()).to.deep.equal(['holder']);
    expect([waiting, reading].map(describeRefusal)).to.deep.equal([refused, refused]);
    expect(listResponses(holder)[0]).to.include({ status: 504, end: 'complete' });
    expect(gateway.listRuns()).to.deep.equal(['holder']);
  });

  // The same between two attempts, after an upstream has stated that it has not run the request.
  it('guards against a repeat that waits until the limit although it has no time to run', async () => {
    const respond: Responder = async (socket, request) => {
      if (request.requestId !== 'repeat') await respondByPath(socket, request);
      else socket.end(formatHead('repeat', ['Not-Executed: 1', 'Content-Length: 0'], '503 Busy'));
    };
    await start([respond, respond]);
    const holder = send('/pay/19000', 'holder');
    await waitUntil('sent', () => gateway.listRuns().length === 1);
    const repeat = send('/pay/100', 'repeat');
    await waitUntil('refused by an upstream', () => gateway.listRuns().length === 2);
    await waitForCounts(2, 1);
    program.child.kill('SIGTERM');
    await Promise.all([holder, repeat].map((caller) => caller.waitForEnd(CALLER_TIMEOUT_MS)));
    expect(await listUnfinished()).to.deep.equal(['holder']);
    expect(describeRefusal(repeat)).to.deep.equal(refused);
    expect(gateway.listRuns()).to.have.members(['holder', 'repeat']);
  });
});
