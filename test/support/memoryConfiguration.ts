import { createHash } from 'node:crypto';
import type { ServiceId, UpstreamId, WorkspaceId } from '../../src/ids.js';
import { toId } from '../../src/ids.js';
import type { ConfigurationView } from '../../src/version/configuration/types.js';
import type { Service, Upstream, Workspace } from '../../src/version/ticket/types.js';
import { serviceSchema, upstreamSchema, workspaceSchema } from '../../src/version/ticket/types.js';

/** In-memory configuration for tests. */
export class MemoryConfiguration implements ConfigurationView {
  private readonly workspaces = new Map<WorkspaceId, Workspace>();
  private readonly services = new Map<ServiceId, Service>();
  private readonly upstreams = new Map<UpstreamId, Upstream>();
  private readonly listeners = new Set<(keys: readonly string[]) => void>();

  putWorkspace(id: string, token: string, shares: Record<string, number>): void {
    const tokenHashes = [createHash('sha256').update(token).digest('hex')];
    this.workspaces.set(toId(id), workspaceSchema.parse({ tokenHashes, shares }));
    this.notify(`workspace/${id}`);
  }

  putService(id: string, state: unknown): void {
    this.services.set(toId(id), serviceSchema.parse(state));
    this.notify(`service/${id}`);
  }

  putUpstream(
    id: string,
    service: string,
    address: string,
    availabilityZone = 'ikeja',
    tokensPerSecond?: number,
  ): void {
    const host = '127.0.0.1';
    const state = { service, address, availabilityZone, host, slots: 4, tokensPerSecond };
    this.upstreams.set(toId(id), upstreamSchema.parse(state));
    this.notify(`upstream/${id}`);
  }

  removeUpstream(id: string): void {
    this.upstreams.delete(toId(id));
    this.notify(`upstream/${id}`);
  }

  getWorkspace(id: WorkspaceId): Workspace | undefined {
    return this.workspaces.get(id);
  }

  getService(id: ServiceId): Service | undefined {
    return this.services.get(id);
  }

  getUpstream(id: UpstreamId): Upstream | undefined {
    return this.upstreams.get(id);
  }

  listUpstreams(service: ServiceId): readonly { id: UpstreamId; state: Upstream }[] {
    return [...this.upstreams]
      .filter(([, state]) => state.service === service)
      .map(([id, state]) => ({ id, state }));
  }

  listServices(): readonly ServiceId[] {
    return [...this.services.keys()];
  }

  findWorkspaceByTokenHash(hash: string): WorkspaceId | undefined {
    for (const [id, { tokenHashes }] of this.workspaces) if (tokenHashes.includes(hash)) return id;
    return undefined;
  }

  onChange(listener: (keys: readonly string[]) => void): () => void {
    this.listeners.add(listener);
    return () => this.listeners.delete(listener);
  }

  private notify(key: string): void {
    for (const listener of this.listeners) listener([key]);
  }
}
