import type { ListedHost } from './types.js';

/**
 * A host that still responds this long after it was first listed as leaving has restarted under the
 * same name, and the live list is stale.
 */
const LEAVING_TTL_MS = 600_000;

/** Hosts reported as leaving by the platform's live list, with the time of the first report. */
export class LeavingHosts {
  private readonly leavingSince = new Map<string, number>();
  private lastList: readonly ListedHost[] | undefined;

  /**
   * Applies the most recently read live list. Repeated calls with the same list have no effect.
   *
   * @param listed - Hosts of the live list
   * @param now - Current time in milliseconds
   */
  applyLiveList(listed: readonly ListedHost[], now: number): void {
    if (listed === this.lastList) return;
    this.lastList = listed;
    const leaving = new Set<string>();
    for (const { host, state } of listed) if (state === 'leaving') leaving.add(host);
    for (const host of this.leavingSince.keys())
      if (!leaving.has(host)) this.leavingSince.delete(host);
    for (const host of leaving) if (!this.leavingSince.has(host)) this.leavingSince.set(host, now);
  }

  /**
   * Checks whether new work must not be sent to a host.
   *
   * @param host - Host id
   * @param now - Current time in milliseconds
   * @returns True from the first report as leaving until `LEAVING_TTL_MS` has elapsed
   */
  isLeaving(host: string, now: number): boolean {
    const since = this.leavingSince.get(host);
    return since !== undefined && now - since < LEAVING_TTL_MS;
  }
}
