import { expect } from '../../../test/support/snapshot.js';
import type { Fingerprint, PromptPartId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import { CrashGuard } from './crashGuard.js';
import type { RequestKeys } from './types.js';

const MINUTE_MS = 60_000;

const createKeys = (request: string, ...parts: string[]): RequestKeys => ({
  request: toId<Fingerprint>(request),
  parts: parts.map((part) => toId<PromptPartId>(part)),
});
const create = (linked: readonly string[] = []): CrashGuard =>
  new CrashGuard({ self: 'gateway-0', listLinked: () => linked });
const crash = (guard: CrashGuard, upstream: string, at: number, ...keys: RequestKeys[]): void => {
  const record = {
    upstream: toId<UpstreamId>(upstream),
    at,
    requests: new Set(keys.map(({ request }) => request)),
    parts: new Set(keys.flatMap(({ parts }) => parts)),
  };
  guard.recordCrash(record, at);
};
const crashAlone = (guard: CrashGuard, count: number, part: string): void => {
  for (let index = 0; index < count; index += 1) {
    crash(guard, `i-${part}-${index}`, index * 1_000, createKeys(`${part}-${index}`, part));
  }
};
const answer = (guard: CrashGuard, count: number, part: string, now: number): void => {
  for (let index = 0; index < count; index += 1) {
    const keys = createKeys(`${part}-answered-${index}`, part);
    guard.recordSend(keys, now)();
    guard.recordSuccess(keys, now);
  }
};

describe('refusal of requests that crash upstreams', () => {
  // Two crashes may be a coincidence; no two requests are alike, so whole requests never collect more.
  it('guards against a part that crashes one upstream after another', () => {
    const decisions: Record<number, unknown> = {};
    for (let crashes = 0; crashes <= 6; crashes += 1) {
      const guard = create();
      crashAlone(guard, crashes, 'bad');
      const keys = createKeys('next', 'topic', 'bad');
      const blockedMs = guard.describe(0).find(({ key }) => key === keys.parts[1])?.retryInMs;
      decisions[crashes] = {
        isRefused: guard.findBlockedKey(keys, crashes * 1_000) !== undefined,
        isRepeatSafe: guard.isRepeatSafe(keys, crashes * 1_000),
        blockedUntilMs: blockedMs,
      };
    }
    expect(decisions).toMatchSnapshot();
  });

  it('guards against refusing a part that sound prompts share with crashing ones', () => {
    const guard = create();
    for (let index = 0; index < 10; index += 1) {
      const now = index * 1_000;
      answer(guard, 5, 'topic', now);
      const crashing = createKeys(`bad-${index}`, 'topic', 'bad');
      crash(guard, `i-${index}`, now + 10, crashing, createKeys(`sound-${index}`, 'topic'));
    }
    expect(guard.describe(10_000).map(({ key }) => key)).to.deep.equal(['bad']);
  });

  // In an outage of all upstreams no response clears the parts that most prompts have.
  it('guards against refusing a common part during an outage of all upstreams', () => {
    const guard = create();
    answer(guard, 30, 'topic', 0);
    for (let index = 0; index < 16; index += 1) {
      crash(guard, `i-${index}`, 1_000, createKeys(`request-${index}`, 'topic'));
    }
    expect(guard.describe(1_000)).to.deep.equal([]);
  });

  it('guards against a part that was sound before and crashes upstreams now', () => {
    const guard = create();
    answer(guard, 3, 'turned', 0);
    answer(guard, 30, 'topic', 0);
    crashAlone(guard, 5, 'turned');
    const before = guard.describe(5_000);
    answer(guard, 20, 'topic', 5_000);
    crash(guard, 'i-last', 6_000, createKeys('last', 'turned'));
    expect(before).to.deep.equal([]);
    expect(guard.describe(6_000).map(({ key }) => key)).to.deep.equal(['turned']);
  });

  it('guards against blaming a request that was in flight beside the crashing part', () => {
    const guard = create();
    const beside = createKeys('beside', 'session');
    for (let index = 0; index < 3; index += 1) {
      const keys = [createKeys(`bad-${index}`, 'bad')];
      if (index < 2) keys.push(beside);
      crash(guard, `i-${index}`, index * 1_000, ...keys);
    }
    expect(guard.findBlockedKey(beside, 2_000)).to.equal(undefined);
    expect(guard.findBlockedKey(createKeys('next', 'bad'), 2_000)).to.equal('bad');
  });

  it('guards against counting one crash for each gateway that reports it', () => {
    const guard = create();
    for (let gateway = 0; gateway < 5; gateway += 1) {
      crash(guard, 'i-0', gateway * 10, createKeys(`request-${gateway}`, 'part'));
    }
    expect(guard.describe(100)).to.deep.equal([]);
    expect(guard.listRecords()).to.have.length(1);
  });

  it('guards against a part that is refused for ever', () => {
    const guard = create();
    crashAlone(guard, 3, 'part');
    const keys = createKeys('trial', 'part');
    const other = createKeys('other', 'part');
    const at = 2_000 + MINUTE_MS;
    expect(guard.findBlockedKey(keys, at - 1)).to.equal('part');
    expect(guard.findBlockedKey(keys, at)).to.equal(undefined);
    guard.recordSend(keys, at);
    expect(guard.findBlockedKey(other, at)).to.equal('part');
    guard.recordSuccess(keys, at + 500);
    expect(guard.findBlockedKey(other, at + 500)).to.equal(undefined);
  });

  it('guards against a trial of the same part by several gateways at once', () => {
    const names = ['gateway-0', 'gateway-1', 'gateway-2', 'gateway-3'];
    const delays = names.map((self) => {
      const listLinked = (): string[] => names.filter((name) => name !== self);
      const guard = new CrashGuard({ self, listLinked });
      crashAlone(guard, 3, 'part');
      return guard.describe(2_000)[0]?.retryInMs ?? 0;
    });
    expect(delays.sort((a, b) => a - b)).to.deep.equal([60_000, 70_000, 80_000, 90_000]);
  });

  // The report of a gateway that was cut off may arrive after a response has cleared the part.
  it('guards against an old report that brings back a cleared part', () => {
    const guard = create();
    answer(guard, 1, 'part', 10_000);
    crashAlone(guard, 5, 'part');
    expect(guard.listRecords().every(({ parts }) => parts.size === 0)).to.equal(true);
  });

  // A caller can name parts of its own choice, but only crashes count against them.
  it('guards against refusing sound prompts because of parts that a caller makes up', () => {
    const guard = create();
    answer(guard, 30, 'topic', 0);
    for (let index = 0; index < 30_000; index += 1) {
      guard.recordSend(createKeys(`made-up-${index}`, 'topic', `x${index}`), 1_000)();
    }
    answer(guard, 1, 'topic', 1_000);
    crash(guard, 'i-0', 2_000, createKeys('a', 'topic', 'x1'));
    crash(guard, 'i-1', 3_000, createKeys('b', 'topic', 'x2'));
    crash(guard, 'i-2', 4_000, createKeys('c', 'topic', 'x3'));
    expect(guard.findBlockedKey(createKeys('sound', 'topic'), 4_000)).to.equal(undefined);
  });

  it('guards against several requests at once with a part of two crashes', () => {
    const guard = create();
    crashAlone(guard, 2, 'part');
    const end = guard.recordSend(createKeys('one', 'part'), 2_000);
    const next = createKeys('two', 'part');
    expect(guard.hasToRunAlone(next, 2_000)).to.equal(true);
    end();
    expect(guard.hasToRunAlone(next, 2_000)).to.equal(false);
  });
});
