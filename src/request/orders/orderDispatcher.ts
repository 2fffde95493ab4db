import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { PeerLink } from '../../connection/peerLink.js';
import type { ErrorCode, RequestError } from '../../errors.js';
import { createError, errorTraits } from '../../errors.js';
import type { ServiceId, WorkspaceId } from '../../ids.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { OrderIdParts } from '../../protocol/orderId.js';
import { computeLoad, findExclusion } from '../routing/eligibility.js';
import type { Candidate } from '../routing/types.js';
import type { SealedOrders } from './sealedOrders.js';
import type { CallFailure, CallTable } from './callTable.js';

const MAX_SLOT_ATTEMPTS = 3;
/** Load per slot added to agents in other availability zones, to prefer the local availability zone. */
const CROSS_ZONE_LOAD_PENALTY = 0.5;
const NO_UPSTREAM_RETRY_AFTER_MS = 1_000;

export interface SlotAgent {
  readonly link: PeerLink | undefined;
  toCandidate(): Candidate;
}

/** Looks up agents and opens links to them. */
export interface AgentDirectory {
  readonly availabilityZone: string;
  listAgents(service: ServiceId): readonly SlotAgent[];
  /** Open links to agents. */
  listLinks(): readonly PeerLink[];
  /** Whether the configuration or an open link contains this address. */
  isKnownAddress(address: string): boolean;
  /** Opens a temporary link for one message. */
  openLink(address: string): Promise<PeerLink | undefined>;
}

export interface OrderResponse {
  readonly id: string;
  readonly state: 'open' | 'running' | 'done' | 'not-run' | 'unknown';
  readonly status?: number;
  readonly body?: unknown;
  readonly reason?: string;
  readonly advice?: string;
  /** True when the executor itself reports `unknown` or no longer exists, so that repeating the query is pointless. */
  readonly final?: boolean;
}

export interface OrderCall {
  readonly type: 'orderPut' | 'orderGet' | 'orderCancel';
  readonly id: string;
  readonly parts: OrderIdParts;
  readonly body: Uint8Array<ArrayBuffer>;
  /** Time until the deadline. */
  readonly remainingMs: number;
}

const EXECUTOR_REPLACED = 'the executor has been replaced or restarted';
const ADVICE_UNREACHABLE =
  'the executor of this order is not reachable; GET the id again later, and settle by hand if it stays unknown';
const ADVICE_REPEAT = 'GET the id, or repeat the same PUT; the order cannot run twice';
const ADVICE_FINAL =
  'the order was given to the upstream and will not be sent again; check its effect at the service';

/** Sends the slot requests and order messages of an entry to agents. */
export class OrderDispatcher {
  private isStopped = false;
  /** Ends the wait for a temporary link, by wait. */
  private readonly linkWaits = new Set<() => void>();

  constructor(
    private readonly calls: CallTable,
    private readonly routes: AgentDirectory,
    private readonly sealedOrders: SealedOrders,
  ) {}

  /** Sends nothing more, and ends the waits for links; messages that were sent keep waiting for their reply. */
  stop(): void {
    this.isStopped = true;
    for (const endWait of [...this.linkWaits]) endWait();
  }

  /**
   * Requests order slots from the least loaded healthy agent. A slot request runs nothing, so it is retried at others.
   *
   * @param workspace - Owner of the orders
   * @param service - Service that accepts orders
   * @param count - Number of slots
   * @param deadlineAt - Time of the deadline in milliseconds
   * @returns Ids with their lifetime, or why there are none
   */
  async requestSlots(
    workspace: WorkspaceId,
    service: ServiceId,
    count: number,
    deadlineAt: number,
  ): Promise<Result<MessageOf<'slotReply'>, RequestError>> {
    let error = createError(
      'no_upstream',
      'no upstream accepts orders',
      NO_UPSTREAM_RETRY_AFTER_MS,
    );
    const agents = this.selectAgents(service, Date.now()).slice(0, MAX_SLOT_ATTEMPTS);
    for (const { link } of agents) {
      const remainingMs = deadlineAt - Date.now();
      if (remainingMs <= 0) return Err(createError('timeout', 'the deadline passed'));
      if (link === undefined) continue;
      const call = this.calls.createId();
      const message = { type: 'slotRequest' as const, call, workspace, service, count };
      const reply = await this.calls.send(link, message, remainingMs);
      if (typeof reply === 'string') {
        if (this.isStopped)
          return Err(createError('draining', 'this entry shut down before it got order slots'));
        error = createError('upstream_failed', 'the agent did not answer');
        continue;
      }
      if (reply.type !== 'slotReply') continue;
      if (reply.error === undefined) return Ok(reply);
      error = toRequestError(reply.error);
      if (!errorTraits[error.code].retryElsewhere) break;
    }
    return Err(error);
  }

  /**
   * Sends an order message to the executor encoded in the order id, and to no other agent.
   *
   * @param order - Message and id
   * @returns State of the order, or why the message was rejected
   */
  async run(order: OrderCall): Promise<Result<OrderResponse, RequestError>> {
    const found = await this.findExecutor(order.parts);
    if (this.isStopped)
      return Err(createError('draining', 'this entry shut down before it sent the order'));
    if (typeof found === 'string') {
      if (this.sealedOrders.has(order.id, Date.now())) return Ok(createSealed(order.id));
      const unknown = createUnknown(order.id, found, ADVICE_UNREACHABLE);
      return Ok(found === EXECUTOR_REPLACED ? { ...unknown, final: true } : unknown);
    }
    try {
      const { workspace, service } = order.parts;
      const call = this.calls.createId();
      const commonFields = { call, workspace, service, order: order.id };
      const message =
        order.type === 'orderPut'
          ? { type: order.type, ...commonFields, body: order.body, remainingMs: order.remainingMs }
          : { type: order.type, ...commonFields };
      const reply = await this.calls.send(found.executor, message, Math.max(1, order.remainingMs));
      if (typeof reply === 'string' && this.sealedOrders.has(order.id, Date.now()))
        return Ok(createSealed(order.id));
      return formatReply(order.id, reply);
    } finally {
      if (found.temporary) found.executor.close();
    }
  }

  private selectAgents(service: ServiceId, now: number): SlotAgent[] {
    const noneTried = new Set<never>();
    const { availabilityZone } = this.routes;
    return this.routes
      .listAgents(service)
      .map((agent) => ({ agent, candidate: agent.toCandidate() }))
      .filter(({ candidate }) => findExclusion(candidate, noneTried, now) === undefined)
      .map(({ agent, candidate }) => ({
        agent,
        load:
          computeLoad(candidate) +
          (candidate.availabilityZone === availabilityZone ? 0 : CROSS_ZONE_LOAD_PENALTY),
      }))
      .sort((a, b) => a.load - b.load)
      .map(({ agent }) => agent);
  }

  private async findExecutor(
    parts: OrderIdParts,
  ): Promise<{ executor: PeerLink; temporary: boolean } | string> {
    for (const link of this.routes.listLinks())
      if (isExecutor(link, parts)) return { executor: link, temporary: false };
    if (!this.routes.isKnownAddress(parts.address))
      return 'neither configuration nor a link names the address in the id';
    const link = await this.waitForLink(parts.address);
    if (link === undefined) return 'the executor is not reachable';
    if (isExecutor(link, parts)) return { executor: link, temporary: true };
    link.close();
    return EXECUTOR_REPLACED;
  }

  private waitForLink(address: string): Promise<PeerLink | undefined> {
    return new Promise((resolve) => {
      const endWait = (): void => {
        this.linkWaits.delete(endWait);
        resolve(undefined);
      };
      this.linkWaits.add(endWait);
      void this.routes.openLink(address).then((link) => {
        if (this.linkWaits.delete(endWait)) resolve(link);
        else link?.close();
      });
    });
  }
}

function isExecutor(link: PeerLink, { host, incarnation }: OrderIdParts): boolean {
  const { peer } = link;
  return peer.role === 'agent' && peer.host === host && peer.incarnation === incarnation;
}

function formatReply(
  id: string,
  reply: MessageOf<'slotReply'> | MessageOf<'orderReply'> | CallFailure,
): Result<OrderResponse, RequestError> {
  if (reply === 'unsent')
    return Ok(createUnknown(id, 'the link broke before the message was sent', ADVICE_REPEAT));
  if (reply === 'link_broke')
    return Ok(createUnknown(id, 'the link broke before the executor answered', ADVICE_REPEAT));
  if (reply === 'timeout')
    return Ok(createUnknown(id, 'the executor did not answer in time', ADVICE_REPEAT));
  if (reply.type === 'slotReply') return Err(createError('internal', 'unexpected reply'));
  const { state, reason, status } = reply;
  if (state === 'rejected')
    return Err(toRequestError(reply.error ?? { code: 'internal', message: reason }));
  if (state === 'unknown') return Ok({ ...createUnknown(id, reason, ADVICE_FINAL), final: true });
  if (state === 'done') return Ok({ id, state, status, body: parseBody(reply.body) });
  return Ok(reason === '' ? { id, state } : { id, state, reason });
}

function createSealed(id: string): OrderResponse {
  return { id, state: 'not-run', reason: 'the agent stopped before the order ran' };
}

function createUnknown(id: string, reason: string, advice: string): OrderResponse {
  return { id, state: 'unknown', reason, advice };
}

function toRequestError(error: {
  code: string;
  message: string;
  retryAfterMs?: number | undefined;
}): RequestError {
  const code = Object.hasOwn(errorTraits, error.code) ? (error.code as ErrorCode) : 'internal';
  return createError(code, error.message, error.retryAfterMs);
}

function parseBody(bytes: Uint8Array): unknown {
  const text = Buffer.from(bytes).toString('utf8');
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return text;
  }
}
