import { setTimeout as sleep } from 'node:timers/promises';
import { startPlatformStore } from '../../test/standins/platformStore.js';
import { createRequestId, sendRequest } from '../support-2/caller.js';
import { publishConfiguration, publishWorker } from '../support-2/deployment.js';
import type { GatewayProcess } from '../support-2/gatewayProcess.js';
import { startGateways } from '../support-2/gatewayProcess.js';
import type { Arrival } from '../support-2/promptWorker.js';
import { PromptWorker, wholeAnswer } from '../support-2/promptWorker.js';
import { record, runCase } from '../support-2/record.js';

const HAS_TROUBLE = process.env.TROUBLE !== '0';
const SERVICE = 'wuno96b';
const GATEWAYS = 2;
const WORKERS = 12;
const RESTART_MS = 2_000;
/** Bound `contactMs` of the deployment. */
const CONTACT_MS = 3_000;
const RESUMABLE_PATH = '/lohu930/2f';
const UNRESUMABLE_PATH = '/pufi791/2f';
const CRASHING_PART = 'bad0c0de';
/** Parts before the one that crashes workers, shared by all requests, as those of a long conversation. */
const SHARED_PARTS = Number(process.env.PARTS ?? 36);
const CALM_MS = 12_000;
const TROUBLE_MS = 45_000;
const SOUND_INTERVAL_MS = 50;
const CRASHING_INTERVAL_MS = 2_000;
const MAX_ARRIVALS_AFTER_CRASHES = 3;
const MIN_SOUND = 20;

const sharedParts = Array.from(
  { length: SHARED_PARTS },
  (_value, index) => `${(0x5c1e0700 + index).toString(16)}:20`,
);

interface Sound {
  readonly sentAt: number;
  readonly requestId: string;
  isWhole: boolean;
  status: number;
}

const arrivals: Arrival[] = [];
const crashes: { at: number; worker: string }[] = [];
const sound: Sound[] = [];
const crashingIds = new Set<string>();

async function run(): Promise<boolean> {
  const store = await startPlatformStore();
  publishConfiguration(store, 7, [
    {
      name: 'r-2yhvz3p',
      prefix: '/lohu930/',
      routeType: 'streaming',
      service: SERVICE,
      maxAttempts: 2,
      resumable: true,
    },
    {
      name: 'r-fi6y7z5',
      prefix: '/pufi791/',
      routeType: 'streaming',
      service: SERVICE,
      maxAttempts: 2,
      resumable: false,
    },
  ]);
  const workers: PromptWorker[] = [];
  let born = 1_796_600_000_000;
  for (let index = 0; index < WORKERS; index += 1) {
    const id = `i-7f3a91${(16 + index).toString(16)}`;
    const publish = (): void => {
      born += 1;
      publishWorker(store, { id, port: worker.port, service: SERVICE, slots: 8, born });
    };
    const worker = new PromptWorker({
      id,
      crashingPart: CRASHING_PART,
      restartMs: RESTART_MS,
      onArrival: (arrival) => arrivals.push(arrival),
      onCrash: () => crashes.push({ at: performance.now(), worker: id }),
      onRestart: publish,
    });
    await worker.start();
    publish();
    workers.push(worker);
  }
  const gateways = await startGateways(GATEWAYS, store.port);
  try {
    return await load(gateways);
  } finally {
    for (const gateway of gateways) await gateway.kill();
    for (const worker of workers) worker.stop();
    await store.close();
  }
}

async function load(gateways: readonly GatewayProcess[]): Promise<boolean> {
  const startedAt = performance.now();
  const troubleFrom = startedAt + CALM_MS;
  const until = troubleFrom + TROUBLE_MS;
  const pending: Promise<void>[] = [];
  let turn = 0;
  const nextFront = (): GatewayProcess['front'] => {
    turn += 1;
    const gateway = gateways[turn % gateways.length];
    if (gateway === undefined) throw new Error('no gateway');
    return gateway.front;
  };
  const sendSound = async (): Promise<void> => {
    const requestId = createRequestId();
    const entry: Sound = { sentAt: performance.now(), requestId, isWhole: false, status: 0 };
    sound.push(entry);
    // Every other one is on a route whose streams may not be resumed.
    const path = sound.length % 2 === 0 ? RESUMABLE_PATH : UNRESUMABLE_PATH;
    const answer = await sendPrompt(nextFront(), path, requestId, sharedParts);
    entry.status = answer.status;
    entry.isWhole = answer.isComplete && answer.text === wholeAnswer;
  };
  const sendCrashing = async (): Promise<void> => {
    const requestId = createRequestId();
    if (HAS_TROUBLE) crashingIds.add(requestId);
    const parts = HAS_TROUBLE ? [...sharedParts, `${CRASHING_PART}:20`] : sharedParts;
    const { status } = await sendPrompt(nextFront(), RESUMABLE_PATH, requestId, parts);
    record(`${HAS_TROUBLE ? 'crashing' : 'further'} request ${requestId}: status ${status}`);
  };
  let nextCrashingAt = troubleFrom;
  for (let at = startedAt; at < until; at += SOUND_INTERVAL_MS) {
    await sleep(Math.max(0, at - performance.now()));
    pending.push(sendSound());
    if (at < nextCrashingAt) continue;
    nextCrashingAt += CRASHING_INTERVAL_MS;
    pending.push(sendCrashing());
  }
  await Promise.all(pending);
  return judge(troubleFrom, until);
}

function sendPrompt(
  front: GatewayProcess['front'],
  path: string,
  requestId: string,
  parts: readonly string[],
): ReturnType<typeof sendRequest> {
  return sendRequest({
    front,
    path,
    requestId,
    headers: {
      Model: 'm',
      'Token-Usage': `${parts.length * 20 + 10},48`,
      // The last part is the request's own.
      'Prefix-Hash': [...parts, `${requestId.slice(8)}:10`].join(','),
    },
  });
}

function judge(troubleFrom: number, until: number): boolean {
  const fifth = crashes[4]?.at;
  record(`crashes of workers: ${crashes.length}`);
  const calm = describeSound(0, troubleFrom);
  record(`sound requests before the first crash: ${calm.text}`);
  if (fifth === undefined) {
    const all = describeSound(troubleFrom, until);
    record(`sound requests after that: ${all.text}; there were no five crashes`);
    return false;
  }
  const late = arrivals.filter(
    ({ at, requestId }) => at > fifth + CONTACT_MS && crashingIds.has(requestId),
  ).length;
  record(`crashing requests at workers later than contactMs after the fifth crash: ${late}`);
  const after = describeSound(fifth + 2 * CONTACT_MS, until);
  record(`sound requests from 2 x contactMs after the fifth crash: ${after.text}`);
  const isBudgetBroken = late > MAX_ARRIVALS_AFTER_CRASHES;
  const hasEnough = calm.sent >= MIN_SOUND && after.sent >= MIN_SOUND;
  const isLost = hasEnough && after.begun / after.sent < calm.begun / calm.sent / 2;
  record(`BUDGET ${isBudgetBroken ? 'broken' : 'held'}, LOST ${isLost ? 'broken' : 'held'}`);
  return isBudgetBroken || isLost;
}

function describeSound(
  from: number,
  until: number,
): { readonly sent: number; readonly begun: number; readonly text: string } {
  const sent = sound.filter(({ sentAt }) => sentAt >= from && sentAt < until);
  const arrived = new Set(arrivals.map(({ requestId }) => requestId));
  const begun = sent.filter(({ requestId }) => arrived.has(requestId)).length;
  const whole = sent.filter(({ isWhole }) => isWhole).length;
  const statuses = new Map<number, number>();
  for (const { status } of sent) statuses.set(status, (statuses.get(status) ?? 0) + 1);
  const counts = [...statuses].map(([status, count]) => `${status}: ${count}`).join(', ');
  const text = `${sent.length} sent, ${begun} reached a worker, ${whole} whole answers; by status ${counts}`;
  return { sent: sent.length, begun, text };
}

await runCase(process.argv[2] ?? '.', run);
