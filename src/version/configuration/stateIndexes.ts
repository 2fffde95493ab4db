import type { ServiceId, UpstreamId, WorkspaceId } from '../../ids.js';
import { toId } from '../../ids.js';
import type { Service, Upstream, Workspace } from '../ticket/types.js';
import type { CheckedObject } from './checkObject.js';

interface ListedUpstream {
  readonly id: UpstreamId;
  readonly state: Upstream;
}

/** Lookup indexes over the active object states, updated incrementally. */
export class StateIndexes {
  readonly workspaces = new Map<string, Workspace>();
  readonly services = new Map<string, Service>();
  readonly upstreams = new Map<string, Upstream>();
  private readonly upstreamsByService = new Map<string, Set<string>>();
  private readonly sortedUpstreams = new Map<string, readonly ListedUpstream[]>();
  /** Several owners of a token are a configuration error; every process selects the lowest id. */
  private readonly tokenOwners = new Map<string, Set<string>>();

  /**
   * Applies an accepted object to the indexes.
   *
   * @param object - Validated object; a null state removes the indexed object
   */
  update(object: CheckedObject): void {
    this.updaters[object.kind](object.id, object.state);
  }

  /**
   * Lists the upstreams of a service sorted by id. The list is cached until one of them changes.
   *
   * @param service - Service id
   * @returns Ids and states of the upstreams
   */
  listUpstreams(service: ServiceId): readonly ListedUpstream[] {
    const cached = this.sortedUpstreams.get(service);
    if (cached !== undefined) return cached;
    const listed: ListedUpstream[] = [];
    for (const id of [...(this.upstreamsByService.get(service) ?? [])].sort()) {
      const state = this.upstreams.get(id);
      if (state !== undefined) listed.push({ id: toId(id), state });
    }
    // Empty lists are not cached, so that unknown service names cannot grow the cache.
    if (listed.length > 0) this.sortedUpstreams.set(service, listed);
    return listed;
  }

  /**
   * Finds the workspace that owns a bearer token.
   *
   * @param hash - SHA-256 of the token, lower-case hex
   * @returns Workspace id, or undefined for an unknown token
   */
  findTokenOwner(hash: string): WorkspaceId | undefined {
    let owner: string | undefined;
    for (const id of this.tokenOwners.get(hash) ?? []) {
      if (owner === undefined || id < owner) owner = id;
    }
    return owner === undefined ? undefined : toId(owner);
  }

  private readonly updaters = {
    workspace: (id: string, state: unknown): void => {
      for (const hash of this.workspaces.get(id)?.tokenHashes ?? []) {
        removeMember(this.tokenOwners, hash, id);
      }
      putOrRemove(this.workspaces, id, state as Workspace | null);
      for (const hash of this.workspaces.get(id)?.tokenHashes ?? []) {
        addMember(this.tokenOwners, hash, id);
      }
    },
    service: (id: string, state: unknown): void => {
      putOrRemove(this.services, id, state as Service | null);
    },
    upstream: (id: string, state: unknown): void => {
      const before = this.upstreams.get(id)?.service;
      if (before !== undefined) removeMember(this.upstreamsByService, before, id);
      putOrRemove(this.upstreams, id, state as Upstream | null);
      const after = this.upstreams.get(id)?.service;
      if (after !== undefined) addMember(this.upstreamsByService, after, id);
      for (const service of [before, after]) {
        if (service !== undefined) this.sortedUpstreams.delete(service);
      }
    },
  };
}

function putOrRemove<Value>(map: Map<string, Value>, key: string, value: Value | null): void {
  if (value === null) map.delete(key);
  else map.set(key, value);
}

function addMember(index: Map<string, Set<string>>, key: string, member: string): void {
  const members = index.get(key);
  if (members === undefined) index.set(key, new Set([member]));
  else members.add(member);
}

function removeMember(index: Map<string, Set<string>>, key: string, member: string): void {
  const members = index.get(key);
  members?.delete(member);
  if (members?.size === 0) index.delete(key);
}
