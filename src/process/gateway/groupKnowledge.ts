import type { UpstreamId } from '../../ids.js';
import { computePairWeight, hashText } from '../../request/routing/rendezvousOrder.js';

/** Time in which the gateways before this one tell what they have read; until then the group counts as unknown. */
const TELL_TIMEOUT_MS = 500;
/** Gateways after this position take over as late as the one at it. */
const MAX_POSITION = 4;
/** A new engine may not respond yet; the number of probes is bounded because each has a cost. */
const MAX_PROBES = 6;
const PROBE_RETRY_INTERVAL_MS = 500;
/** Each probe opens a connection, and the requests of callers go first. */
const MAX_CONCURRENT_PROBES = 4;
/** Words about upstreams that are not listed yet; more than the largest fleet. */
const MAX_EARLY_STATEMENTS = 10_000;

/** The group of one start of an upstream. */
export interface GroupStatement {
  readonly upstream: UpstreamId;
  /** Start of the upstream in Unix milliseconds. */
  readonly startedAt: number;
  /** Undefined for an upstream without a group. */
  readonly group?: string | undefined;
  /** False if the group had lost a rank when it was read. */
  readonly isOpen?: boolean | undefined;
}

interface UnknownGroup {
  readonly startedAt: number | undefined;
  readonly hash: number;
  readonly since: number;
  probes: number;
  isProbing: boolean;
  nextProbeAt: number;
}

/**
 * Decides which groups of upstreams this gateway reads itself, and which it takes from other gateways.
 *
 * The group of an upstream is read by the first gateway in its rendezvous order; the next one takes over when it has not
 * been told in time. What a gateway has read itself is never replaced by what it is told.
 */
export class GroupKnowledge {
  private readonly unknown = new Map<UpstreamId, UnknownGroup>();
  private readonly known = new Map<UpstreamId, GroupStatement>();
  /** Told about upstreams, or starts of them, that are not listed yet. */
  private readonly early = new Map<UpstreamId, GroupStatement>();
  /** Hashes of the gateways that tell groups. */
  private readonly tellers = new Map<string, number>();
  private readonly selfHash: number;

  /**
   * @param self - Process id of this gateway
   * @param hasPeers - Whether other gateways are expected to run
   */
  constructor(
    self: string,
    private readonly hasPeers: boolean,
  ) {
    this.selfHash = hashText(self);
  }

  /** Number of upstreams whose group is not known. */
  get unknownCount(): number {
    return this.unknown.size;
  }

  /** @returns Whether the group of an upstream is not known */
  isUnknown(upstream: UpstreamId): boolean {
    return this.unknown.has(upstream);
  }

  /** Adds a linked gateway that tells groups. */
  addTeller(processId: string): void {
    this.tellers.set(processId, hashText(processId));
  }

  /** Removes a gateway whose link has closed; the next one in order takes over its part. */
  removeTeller(processId: string): void {
    this.tellers.delete(processId);
  }

  /**
   * Adds an upstream that is new or has restarted.
   *
   * @param upstream - Upstream id
   * @param startedAt - Its start, undefined if it does not state one; then no word of another gateway applies to it
   * @param now - Current time in milliseconds
   * @returns What another gateway has already told about this start of it
   */
  addUpstream(
    upstream: UpstreamId,
    startedAt: number | undefined,
    now: number,
  ): GroupStatement | undefined {
    const known = this.known.get(upstream) ?? this.early.get(upstream);
    this.early.delete(upstream);
    if (known !== undefined && known.startedAt === startedAt) {
      this.unknown.delete(upstream);
      this.known.set(upstream, known);
      return known;
    }
    this.known.delete(upstream);
    this.unknown.set(upstream, {
      startedAt,
      hash: hashText(upstream),
      since: now,
      probes: 0,
      isProbing: false,
      nextProbeAt: -Infinity,
    });
    return undefined;
  }

  /** Removes an upstream that is no longer listed, or that can have no group. */
  removeUpstream(upstream: UpstreamId): void {
    this.unknown.delete(upstream);
    this.known.delete(upstream);
  }

  /**
   * Takes the words of another gateway.
   *
   * @param statements - What it has read itself
   * @returns Those that are news and apply to a listed start of an upstream
   */
  applyTold(statements: readonly GroupStatement[]): GroupStatement[] {
    const applied: GroupStatement[] = [];
    for (const statement of statements) {
      const { upstream, startedAt, group } = statement;
      const unknown = this.unknown.get(upstream);
      if (unknown?.startedAt !== startedAt) {
        const isNews = this.known.get(upstream)?.startedAt !== startedAt;
        if (isNews && this.early.size < MAX_EARLY_STATEMENTS)
          this.early.set(upstream, { upstream, startedAt, group });
        continue;
      }
      this.unknown.delete(upstream);
      this.known.set(upstream, { upstream, startedAt, group });
      applied.push(statement);
    }
    return applied;
  }

  /**
   * Lists the upstreams that this gateway has to probe now, and counts them as being probed.
   *
   * @param now - Current time in milliseconds
   * @returns Upstreams, at most `MAX_CONCURRENT_PROBES` at a time
   */
  takeDueProbes(now: number): UpstreamId[] {
    const due: UpstreamId[] = [];
    let running = 0;
    for (const { isProbing } of this.unknown.values()) if (isProbing) running += 1;
    for (const [upstream, state] of this.unknown) {
      if (running + due.length >= MAX_CONCURRENT_PROBES) break;
      if (state.isProbing || now < state.nextProbeAt) continue;
      if (now < state.since + this.computePosition(state) * TELL_TIMEOUT_MS) continue;
      state.isProbing = true;
      state.probes += 1;
      due.push(upstream);
    }
    return due;
  }

  /**
   * Records that a probe has read the group.
   *
   * @param upstream - Upstream id
   * @param startedAt - Start of the upstream that was probed
   * @param group - Its group, undefined for none
   * @returns What to tell the other gateways; undefined if the upstream has restarted or does not state its start
   */
  recordRead(
    upstream: UpstreamId,
    startedAt: number | undefined,
    group: string | undefined,
  ): GroupStatement | undefined {
    const unknown = this.unknown.get(upstream);
    if (unknown !== undefined && unknown.startedAt !== startedAt) return undefined;
    this.unknown.delete(upstream);
    if (startedAt === undefined) return undefined;
    const statement: GroupStatement = { upstream, startedAt, group };
    this.known.set(upstream, statement);
    return statement;
  }

  /**
   * Records that a probe has failed.
   *
   * @param upstream - Upstream id
   * @param now - Current time in milliseconds
   * @returns Whether it will be probed again
   */
  recordFailedProbe(upstream: UpstreamId, now: number): boolean {
    const state = this.unknown.get(upstream);
    if (state === undefined) return true;
    state.isProbing = false;
    state.nextProbeAt = now + PROBE_RETRY_INTERVAL_MS;
    if (state.probes < MAX_PROBES) return true;
    this.unknown.delete(upstream);
    return false;
  }

  /** Lists what is known, for a gateway that has just been linked. */
  listKnown(): GroupStatement[] {
    return [...this.known.values()];
  }

  /** Number of gateways that come before this one in the rendezvous order of an upstream. */
  private computePosition({ startedAt, hash }: UnknownGroup): number {
    // Nobody can tell the group of an upstream that does not state its start.
    if (startedAt === undefined) return 0;
    // Right after a start of all gateways, their links are still being opened.
    if (this.tellers.size === 0) return this.hasPeers ? 1 : 0;
    const ownWeight = computePairWeight(hash, this.selfHash);
    let position = 0;
    for (const tellerHash of this.tellers.values()) {
      if (computePairWeight(hash, tellerHash) > ownWeight) position += 1;
    }
    return Math.min(position, MAX_POSITION);
  }
}
