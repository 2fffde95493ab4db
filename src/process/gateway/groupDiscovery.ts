import type { UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import type { GroupHealth } from '../../request/admission/groupHealth.js';
import type { UpstreamStatements } from '../../request/admission/upstreamStatements.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { ConfigurationCache } from './configurationCache.js';
import type { GroupStatement } from './groupKnowledge.js';
import { GroupKnowledge } from './groupKnowledge.js';
import type { UpstreamProbe } from './types.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

export interface GroupDiscoveryOptions {
  readonly self: string;
  /** Whether other gateways are expected to run. */
  readonly hasPeers: boolean;
  readonly configurationCache: Pick<ConfigurationCache, 'current'>;
  readonly directory: Pick<UpstreamDirectory, 'findEntry'>;
  readonly health: Pick<GroupHealth, 'setGroup' | 'recordFailure'>;
  readonly statements: Pick<UpstreamStatements, 'recordLeaving'>;
  readonly probe: UpstreamProbe;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly readClock: () => number;
  /** Sends a message to all linked gateways that tell groups. */
  broadcast(message: Message): void;
}

/** Learns the groups of new engines, which do not change while an engine runs, from them or from other gateways. */
export class GroupDiscovery {
  readonly knowledge: GroupKnowledge;
  /** Upstreams of which it is not known yet whether they have groups. */
  private readonly undecided = new Set<UpstreamId>();
  private untold: GroupStatement[] = [];
  private isComplete = true;

  constructor(private readonly options: GroupDiscoveryOptions) {
    this.knowledge = new GroupKnowledge(options.self, options.hasPeers);
  }

  /**
   * Adds an upstream that is new or has restarted.
   *
   * @param id - Upstream id
   */
  add(id: UpstreamId): void {
    const { directory, readClock } = this.options;
    const told = this.knowledge.addUpstream(id, directory.findEntry(id)?.startedAt, readClock());
    if (told === undefined) this.undecided.add(id);
    else this.applyTold(told);
  }

  /**
   * Starts the probes that are due, and tells what has been read.
   *
   * @param now - Current time in milliseconds
   */
  advance(now: number): void {
    this.decide();
    if (this.untold.length > 0) {
      this.options.broadcast(toMessage(this.untold));
      this.untold = [];
    }
    if (this.knowledge.unknownCount === 0) {
      this.logComplete();
      return;
    }
    if (this.options.configurationCache.current === undefined) return;
    this.isComplete = false;
    for (const id of this.knowledge.takeDueProbes(now)) void this.probe(id);
  }

  /**
   * Receives the groups that another gateway has read.
   *
   * @param message - Message
   * @param sender - Process id of the gateway
   */
  receive(message: MessageOf<'upstreamGroups'>, sender: string): void {
    const statements = message.groups.map(({ upstream, ...statement }) => ({
      upstream: toId<UpstreamId>(upstream),
      ...statement,
    }));
    const applied = this.knowledge.applyTold(statements);
    for (const statement of applied) this.applyTold(statement);
    if (applied.length === 0) return;
    this.options.metrics.addCount('groups_told', applied.length);
    this.options.logger.info({ sender, count: applied.length }, 'groups of upstreams told');
  }

  /** @returns What is known, for a gateway that has just been linked */
  createMessages(): Message[] {
    const known = this.knowledge.listKnown();
    return known.length === 0 ? [] : [toMessage(known)];
  }

  /** Forgets upstreams that are gone or have no groups; the others share a placeholder until their group is known. */
  private decide(): void {
    const { configurationCache, directory, health } = this.options;
    const services = configurationCache.current?.configuration.services;
    if (services === undefined) return;
    for (const id of this.undecided) {
      const entry = directory.findEntry(id);
      const service = entry === undefined ? undefined : services.get(entry.service);
      if (entry !== undefined && service === undefined) continue;
      this.undecided.delete(id);
      if (entry === undefined || service?.engine?.experts === undefined) {
        this.knowledge.removeUpstream(id);
      } else if (this.knowledge.isUnknown(id)) {
        // When one of them refuses work, the refusal may apply to all of them.
        health.setGroup(id, `unknown groups of ${entry.service}`);
      }
    }
  }

  private async probe(id: UpstreamId): Promise<void> {
    const { directory, health, statements, probe, logger, metrics, readClock } = this.options;
    const entry = directory.findEntry(id);
    if (entry === undefined) {
      this.knowledge.removeUpstream(id);
      return;
    }
    metrics.addCount('group_probes');
    const read = await probe.readGroup(entry.address);
    // What an earlier start has answered says nothing about the later one, which is unknown anew.
    if (directory.findEntry(id)?.startedAt !== entry.startedAt) return;
    if (read.isErr()) {
      if (this.knowledge.recordFailedProbe(id, readClock())) return;
      health.setGroup(id, undefined);
      logger.warn(
        { upstream: id },
        'could not read the group of an upstream; treating it as ungrouped',
      );
      return;
    }
    const { name, isOpen, isLeaving, startedAt = 0 } = read.value ?? {};
    logger.info({ upstream: id, name, isOpen }, 'group of an upstream learned');
    const statement = this.knowledge.recordRead(id, entry.startedAt, name);
    health.setGroup(id, name);
    if (isLeaving === true) statements.recordLeaving({ id, startedAt });
    if (isOpen === false) health.recordFailure(id, readClock());
    // Another start may have its address since the upstream list was read.
    const isSameStart = startedAt === 0 || startedAt === entry.startedAt;
    if (statement !== undefined && isSameStart) this.untold.push({ ...statement, isOpen });
  }

  private applyTold({ upstream, group, isOpen }: GroupStatement): void {
    const { health, readClock } = this.options;
    health.setGroup(upstream, group);
    if (isOpen === false) health.recordFailure(upstream, readClock());
  }

  private logComplete(): void {
    if (this.isComplete) return;
    this.isComplete = true;
    this.options.logger.info({}, 'groups of all upstreams known');
  }
}

function toMessage(groups: readonly GroupStatement[]): Message {
  return { type: 'upstreamGroups', groups: [...groups] };
}
