import { defaults } from '../../defaults.js';
import type { RequestError } from '../../errors.js';
import { createError } from '../../errors.js';
import type { ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { MessageOf } from '../../protocol/messages.js';
import type { ConfigurationView } from '../../version/configuration/types.js';
import type { Service, Upstream, Workspace } from '../../version/ticket/types.js';
import type { AgentOptions } from '../types.js';

/** Agent state that admission of new work depends on. */
export interface AgentState {
  readonly accepting: boolean;
  readonly draining: boolean;
}

const RETRY_AFTER_MS = 1_000;

/** Limits and admission checks from the current configuration of this upstream, its service and its workspaces. */
export class AgentPolicy {
  constructor(
    private readonly options: AgentOptions,
    private readonly configuration: ConfigurationView,
  ) {}

  get slots(): number {
    return this.findUpstream()?.slots ?? this.options.slots;
  }

  get tokensPerSecond(): number {
    return this.findUpstream()?.tokensPerSecond ?? 0;
  }

  get maxOutputTokens(): number {
    return this.findService()?.maxOutputTokens ?? defaults.maxOutputTokens;
  }

  /** Kind of the service; undefined until its configuration is known. */
  get kind(): Service['kind'] | undefined {
    return this.findService()?.kind;
  }

  /**
   * Reads a workspace's guaranteed share of the service.
   *
   * @param workspace - Workspace id
   * @returns Fraction 0..1
   */
  getShare(workspace: string): number {
    return this.findWorkspace(workspace)?.shares[this.options.service] ?? 0;
  }

  /**
   * Reads the maximum queue length of a workspace.
   *
   * @param workspace - Workspace id
   * @returns Number of requests
   */
  getMaxQueued(workspace: string): number {
    return this.findWorkspace(workspace)?.maxQueued ?? defaults.maxQueuedPerWorkspace;
  }

  /**
   * Reads the maximum number of order slots of a workspace.
   *
   * @param workspace - Workspace id
   * @returns Number of slots
   */
  getMaxOrderSlots(workspace: string): number {
    return this.findWorkspace(workspace)?.maxOrderSlots ?? defaults.maxOrderSlotsPerWorkspace;
  }

  /**
   * Checks whether a request may be accepted.
   *
   * @param message - Request
   * @param state - State of the agent
   * @returns Reason for the refusal, or undefined
   */
  checkRequest(message: MessageOf<'request'>, state: AgentState): RequestError | undefined {
    const serviceError = this.checkService(message.service, state);
    if (serviceError !== undefined) return serviceError;
    const { kind } = this;
    if (kind !== undefined && (kind === 'engine') !== (message.kind === 'chat')) {
      return createError(
        'bad_request',
        `service of kind ${kind} does not accept ${message.kind} requests`,
      );
    }
    return this.checkAccepting(state);
  }

  /**
   * Checks whether order slots may be issued.
   *
   * @param service - Service of the slots
   * @param state - State of the agent
   * @returns Reason for the refusal, or undefined
   */
  checkSlotRequest(service: string, state: AgentState): RequestError | undefined {
    const serviceError = this.checkService(service, state);
    if (serviceError !== undefined) return serviceError;
    if (this.findService()?.orders !== true) {
      return createError('forbidden', 'service does not accept orders');
    }
    return this.checkAccepting(state);
  }

  /**
   * Checks whether the upstream accepts work.
   *
   * @param state - State of the agent
   * @returns Reason for the refusal, or undefined
   */
  checkAccepting({ accepting }: AgentState): RequestError | undefined {
    if (accepting && this.kind !== undefined) return undefined;
    return createError('upstream_refused', 'upstream is not making progress', RETRY_AFTER_MS);
  }

  private checkService(service: string, { draining }: AgentState): RequestError | undefined {
    if (draining) return createError('draining', 'upstream is draining', RETRY_AFTER_MS);
    if (service === this.options.service) return undefined;
    return createError('no_upstream', 'upstream serves a different service', RETRY_AFTER_MS);
  }

  private findService(): Service | undefined {
    return this.configuration.getService(toId<ServiceId>(this.options.service));
  }

  private findUpstream(): Upstream | undefined {
    return this.configuration.getUpstream(toId<UpstreamId>(this.options.upstream));
  }

  private findWorkspace(workspace: string): Workspace | undefined {
    return this.configuration.getWorkspace(toId<WorkspaceId>(workspace));
  }
}
