/** Minimal implementations of order schemes that were evaluated and rejected; see docs/design.md section 7. */

/** Upstream that executes every order it receives and records it. */
export class RecordingUpstream {
  readonly executions: string[] = [];

  execute(key: string): void {
    this.executions.push(key);
  }

  countExecutions(key: string): number {
    return this.executions.filter((executed) => executed === key).length;
  }
}

/** Agent that deduplicates by the keys it has executed, which it keeps only in memory. */
export class DeduplicatingAgent {
  private readonly executed = new Set<string>();

  constructor(private readonly upstream: RecordingUpstream) {}

  putOrder(key: string): void {
    if (this.executed.has(key)) return;
    this.executed.add(key);
    this.upstream.execute(key);
  }
}

/**
 * Alternative 1: the caller's key is hashed over the agents in the entry's configuration.
 *
 * @param key - Caller's idempotency key
 * @param agents - Agents in the order of the entry's configuration
 * @returns The home agent of the key according to this entry
 */
export function selectHomeAgent(
  key: string,
  agents: readonly DeduplicatingAgent[],
): DeduplicatingAgent {
  let sum = 0;
  for (const character of key) sum = (sum * 31 + character.charCodeAt(0)) >>> 0;
  const home = agents[sum % agents.length];
  if (home === undefined) throw new Error('no agents');
  return home;
}

/** Alternative 2: a write-once register on a majority of agents, kept in memory. */
export class RegisterReplica {
  private readonly claims = new Map<string, string>();

  /** Returns the claimant that the replica has stored after the call. */
  putClaim(key: string, claimant: string): string {
    const held = this.claims.get(key) ?? claimant;
    this.claims.set(key, held);
    return held;
  }
}

/**
 * Executes an order when a majority of replicas grants the claim.
 *
 * @param key - Caller's idempotency key
 * @param claimant - Id of the claiming entry
 * @param replicas - All replicas known to the entry
 * @param upstream - Receives the order
 * @returns True when the claim was granted and the order sent
 */
export function runWithMajority(
  key: string,
  claimant: string,
  replicas: readonly RegisterReplica[],
  upstream: RecordingUpstream,
): boolean {
  let granted = 0;
  for (const replica of replicas) {
    if (replica.putClaim(key, claimant) === claimant) granted += 1;
  }
  if (granted * 2 <= replicas.length) return false;
  upstream.execute(key);
  return true;
}

/** Alternative 3: an executor that relies on a lease read from the platform's live list. */
export class LeaseHolder {
  private leaseUntil = 0;

  constructor(private readonly upstream: RecordingUpstream) {}

  renewLease(now: number, durationMs: number): void {
    this.leaseUntil = now + durationMs;
  }

  /** Checks the lease; the returned function sends the order, possibly after a process pause. */
  prepareOrder(key: string, now: number): (() => void) | undefined {
    if (now >= this.leaseUntil) return undefined;
    return () => {
      this.upstream.execute(key);
    };
  }
}
