import type { ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';
import type { Service, Upstream, Workspace } from '../ticket/types.js';

/** Read-only view of the active configuration of this process. */
export interface ConfigurationView {
  getWorkspace(id: WorkspaceId): Workspace | undefined;
  getService(id: ServiceId): Service | undefined;
  getUpstream(id: UpstreamId): Upstream | undefined;
  /** Lists all upstreams of a service, sorted by id. */
  listUpstreams(service: ServiceId): readonly { id: UpstreamId; state: Upstream }[];
  listServices(): readonly ServiceId[];
  /** Returns the workspace that owns the bearer token with this SHA-256 (lower-case hex). */
  findWorkspaceByTokenHash(hash: string): WorkspaceId | undefined;
  /** Registers a listener for changed keys (`kind/id`); returns a function that unregisters it. */
  onChange(listener: (keys: readonly string[]) => void): () => void;
}
