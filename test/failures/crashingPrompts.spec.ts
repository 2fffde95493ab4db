import { expect } from 'chai';
import { listPromptParts } from '../standins/platformWorker.js';
import type { GatewayFixture } from '../support/gatewayFixture.js';
import { callGateway, startGatewayFixture } from '../support/gatewayFixture.js';
import { waitMs, waitUntil } from '../support/waiting.js';

/** Bound of the rule: contact time of the gateways after which they must act on what they know. */
const CONTACT_MS = 3_000;
const ALLOWED_SENDS = 3;
const CRASHES_BEFORE_BOUND = 5;
const WATCHED_MS = 4_000;
const CRASHING_INTERVAL_MS = 120;
const SOUND_INTERVAL_MS = 40;
const CALM_MS = 1_500;
/** Least share of the rate outside of the disturbance at which sound requests go on being served. */
const MIN_SOUND_SHARE = 0.5;

interface SoundCall {
  readonly at: number;
  isServed: boolean;
}

/** Calls gateways in turn at a fixed interval until `stop` is called. */
function startCalls(
  fixture: GatewayFixture,
  intervalMs: number,
  send: (url: string, turn: number) => Promise<void>,
): () => void {
  let turn = 0;
  const timer = setInterval(() => {
    const url = fixture.urls[turn % fixture.urls.length] ?? '';
    void send(url, turn).catch(() => undefined);
    turn += 1;
  }, intervalMs);
  return () => {
    clearInterval(timer);
  };
}

describe('prompts that crash upstreams', function () {
  this.timeout(40_000);
  let fixture: GatewayFixture;
  afterEach(() => fixture.close());

  const findSends = (part: string): number[] =>
    fixture.workers
      .flatMap(({ receivedRequests }) => receivedRequests)
      .filter((received) => listPromptParts(received).includes(part))
      .map(({ receivedAt }) => receivedAt)
      .sort((a, b) => a - b);

  const cases: Readonly<Record<string, (own: string) => string>> = {
    'in the middle': (own) => `a1:40,bad0:300,${own}:50`,
    first: (own) => `bad0:40,a1:300,${own}:50`,
  };
  for (const [position, formatPrompt] of Object.entries(cases)) {
    // Requests with one part of their prompts ended every upstream, because no two of them were alike as a whole.
    it(`guards against requests that share a crashing part and differ otherwise; part: ${position}`, async () => {
      fixture = await startGatewayFixture({ workers: 6, gateways: 3 });
      const { workers } = fixture;
      const crashTimes: number[] = [];
      for (const worker of workers) {
        worker.crashingPart = 'bad0';
        worker.onRestarted = () => {
          crashTimes.push(performance.now() - worker.restartMs);
          fixture.publishWorker(worker, { born: Math.round(performance.now()), seq: 1 });
        };
      }
      const soundCalls: SoundCall[] = [];
      const stopSound = startCalls(fixture, SOUND_INTERVAL_MS, async (url, turn) => {
        const call = { at: performance.now(), isServed: false };
        soundCalls.push(call);
        const prompt = `a1:40,${(turn % 5) + 10}:300,${turn}e:50`;
        const response = await callGateway(url, `/chat/${turn}`, { 'prefix-hash': prompt });
        call.isServed = response.status === 200 && response.isComplete;
      });
      await waitMs(CALM_MS);
      const startedAt = performance.now();
      const statuses: number[] = [];
      const stopCrashing = startCalls(fixture, CRASHING_INTERVAL_MS, async (url, turn) => {
        const headers = { 'prefix-hash': formatPrompt(`${turn}d`) };
        statuses.push((await callGateway(url, `/chat/crash${turn}`, headers)).status);
      });
      await waitUntil('enough sends', () => findSends('bad0').length >= 1);
      // The bound counts from the fifth crash, or from the last one if there are fewer.
      await waitMs(CONTACT_MS);
      const fifthAt = crashTimes[CRASHES_BEFORE_BOUND - 1] ?? crashTimes.at(-1) ?? startedAt;
      const until = fifthAt + 2 * CONTACT_MS + WATCHED_MS;
      await waitMs(until - performance.now());
      stopCrashing();
      stopSound();
      const sends = findSends('bad0').filter((at) => at > fifthAt + CONTACT_MS).length;
      const computeServed = (from: number, to: number): number => {
        const calls = soundCalls.filter(({ at }) => at >= from && at < to);
        return calls.filter(({ isServed }) => isServed).length / calls.length;
      };
      const calm = computeServed(0, startedAt);
      const share = computeServed(fifthAt + 2 * CONTACT_MS, until - 500) / calm;
      const report = `${crashTimes.length} crashes, ${sends} sends after the bound, share ${share}`;
      expect(sends, report).to.be.at.most(ALLOWED_SENDS);
      expect(share, report).to.be.at.least(MIN_SOUND_SHARE);
      expect(statuses.at(-1), report).to.equal(502);
    });
  }
});
