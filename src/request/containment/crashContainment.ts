import type { Fingerprint, PromptPartId, ServiceId, UpstreamId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Logger } from '../../process/logging.js';
import type { Metrics } from '../../process/metrics.js';
import type { Message, MessageOf } from '../../protocol/messages.js';
import { CrashGuard } from './crashGuard.js';
import type { CrashKey, CrashRecord, RequestKeys } from './types.js';

/** Guards of services that have had no request for long are few, so they are kept; a flood of names is not. */
const MAX_SERVICES = 200;

/** A request that waits or has been sent, and has received no event of its response. */
export interface RegisteredRequest {
  readonly service: ServiceId;
  readonly keys: RequestKeys;
  /** Whether its upstream has written no event in this attempt. */
  isUnanswered(): boolean;
  /** Ends it without another attempt. */
  abort(): void;
}

export interface CrashContainmentOptions {
  readonly self: string;
  readonly listLinked: () => readonly string[];
  /** Sends a message to all gateways that know its type. */
  readonly broadcast: (message: Message) => void;
  readonly logger: Logger;
  readonly metrics: Metrics;
}

/** Keeps requests that crash upstreams from all upstreams of their service, together with the other gateways. */
export class CrashContainment {
  private readonly guards = new Map<ServiceId, CrashGuard>();
  private readonly registered = new Set<RegisteredRequest>();

  constructor(private readonly options: CrashContainmentOptions) {}

  /**
   * Registers a request, which is aborted when it turns out that it would crash an upstream.
   *
   * @param request - Admitted request
   * @returns Removes it
   */
  register(request: RegisteredRequest): () => void {
    this.registered.add(request);
    return () => {
      this.registered.delete(request);
    };
  }

  /**
   * Finds the key for which a request is refused.
   *
   * @param service - Service of the request
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns The key, or undefined if the request may be sent
   */
  findBlockedKey(service: ServiceId, keys: RequestKeys, now: number): CrashKey | undefined {
    return this.guards.get(service)?.findBlockedKey(keys, now);
  }

  /**
   * Checks whether a request whose upstream has crashed may be sent to another one.
   *
   * @param service - Service of the request
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns False if that would probably crash the other one
   */
  isRepeatSafe(service: ServiceId, keys: RequestKeys, now: number): boolean {
    return this.guards.get(service)?.isRepeatSafe(keys, now) ?? true;
  }

  /**
   * Checks whether a request has to wait until another one with the same part has shown its outcome.
   *
   * @param service - Service of the request
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns True if both could crash their upstreams
   */
  hasToRunAlone(service: ServiceId, keys: RequestKeys, now: number): boolean {
    return this.guards.get(service)?.hasToRunAlone(keys, now) ?? false;
  }

  /**
   * Records that a request is sent to an upstream.
   *
   * @param service - Service of the request
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   * @returns Records the end of the attempt
   */
  recordSend(service: ServiceId, keys: RequestKeys, now: number): () => void {
    return this.getGuard(service).recordSend(keys, now);
  }

  /**
   * Records that an upstream has written a response, or so much of it that the request does not crash it.
   *
   * @param service - Service of the request
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   */
  recordSuccess(service: ServiceId, keys: RequestKeys, now: number): void {
    if (!this.getGuard(service).recordSuccess(keys, now)) return;
    const { request, parts } = keys;
    this.options.broadcast({
      type: 'crashCleared',
      service,
      requests: [request],
      parts: [...parts],
    });
    this.options.logger.info(
      { service, fingerprint: request, promptParts: parts.join(',') },
      'request cleared of crashes',
    );
  }

  /**
   * Records that an upstream has crashed while a request was in flight, and tells the other gateways.
   *
   * @param service - Service of the request
   * @param upstream - Upstream that crashed
   * @param keys - Keys of the request
   * @param now - Current time in milliseconds
   */
  recordCrash(service: ServiceId, upstream: UpstreamId, keys: RequestKeys, now: number): void {
    const record = {
      upstream,
      at: now,
      requests: new Set([keys.request]),
      parts: new Set(keys.parts),
    };
    this.options.metrics.addCount('crash_reports_sent');
    this.options.broadcast(encodeRecord(service, record, now));
    this.applyRecord(service, record, now);
  }

  /**
   * Applies the report of another gateway.
   *
   * @param message - Received message
   * @param now - Current time in milliseconds
   */
  receiveReport(message: MessageOf<'crashReport'>, now: number): void {
    this.options.metrics.addCount('crash_reports_received');
    const record = {
      upstream: toId<UpstreamId>(message.upstream),
      at: now - message.ageMs,
      requests: new Set(message.requests.map((key) => toId<Fingerprint>(key))),
      parts: new Set(message.parts.map((key) => toId<PromptPartId>(key))),
    };
    this.applyRecord(toId<ServiceId>(message.service), record, now);
  }

  /**
   * Applies that another gateway has cleared keys.
   *
   * @param message - Received message
   * @param now - Current time in milliseconds
   */
  receiveCleared(message: MessageOf<'crashCleared'>, now: number): void {
    const requests = message.requests.map((key) => toId<Fingerprint>(key));
    const parts = message.parts.map((key) => toId<PromptPartId>(key));
    this.guards.get(toId<ServiceId>(message.service))?.clear(requests, parts, now);
  }

  /**
   * Creates the reports of all known crashes, for a gateway that has just been linked.
   *
   * @param now - Current time in milliseconds
   * @returns Messages, oldest crash first
   */
  createReports(now: number): Message[] {
    const reports: Message[] = [];
    for (const [service, guard] of this.guards) {
      for (const record of guard.listRecords()) reports.push(encodeRecord(service, record, now));
    }
    return reports;
  }

  /**
   * Describes the refused keys for operators.
   *
   * @param now - Current time in milliseconds
   * @returns Refused keys by service
   */
  describe(now: number): Record<string, unknown> {
    return Object.fromEntries(
      [...this.guards].map(([service, guard]) => [service, guard.describe(now)]),
    );
  }

  private applyRecord(service: ServiceId, record: CrashRecord, now: number): void {
    const guard = this.getGuard(service);
    for (const key of guard.recordCrash(record, now)) {
      this.options.metrics.addCount('crash_keys_blocked');
      this.options.logger.warn(
        { service, key, upstream: record.upstream },
        'refusing requests that crash upstreams',
      );
    }
    for (const request of this.registered) {
      if (request.service !== service || !request.isUnanswered()) continue;
      if (guard.findBlockedKey(request.keys, now) !== undefined) request.abort();
    }
  }

  private getGuard(service: ServiceId): CrashGuard {
    let guard = this.guards.get(service);
    if (guard !== undefined) return guard;
    const { self, listLinked } = this.options;
    guard = new CrashGuard({ self, listLinked });
    this.guards.set(service, guard);
    if (this.guards.size > MAX_SERVICES) {
      for (const oldest of this.guards.keys()) {
        this.guards.delete(oldest);
        break;
      }
    }
    return guard;
  }
}

function encodeRecord(service: ServiceId, record: CrashRecord, now: number): Message {
  return {
    type: 'crashReport',
    service,
    upstream: record.upstream,
    ageMs: Math.max(0, now - record.at),
    requests: [...record.requests],
    parts: [...record.parts],
  };
}
