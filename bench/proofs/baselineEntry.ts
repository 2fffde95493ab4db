import { request } from 'undici';
import type { Cluster } from '../../test/support/cluster.js';

const LIST_POLL_INTERVAL_MS = 500;
const TOKENS = 24;

interface ListedAgent {
  readonly host: string;
  readonly state: string;
  readonly role: string;
}

/** Baseline entry that uses only the live list and sends requests to its upstreams in round robin. */
export class BaselineEntry {
  private hosts = new Set<string>();
  private readonly tasks: Promise<void>[];
  private stopped = false;
  private turn = 0;

  /**
   * @param cluster - Running cluster
   * @param callers - Number of concurrent requests
   * @param prompt - Prefix of each prompt
   */
  constructor(
    private readonly cluster: Cluster,
    callers: number,
    private readonly prompt: string,
  ) {
    this.tasks = [
      this.pollLiveList(),
      ...Array.from({ length: callers }, () => this.sendRequests()),
    ];
  }

  /** Stops and waits for the requests in flight. */
  async stop(): Promise<void> {
    this.stopped = true;
    await Promise.all(this.tasks);
  }

  private async pollLiveList(): Promise<void> {
    while (!this.stopped) {
      const response = await request(`${this.cluster.platformUrl}/v1/hosts`);
      const listed = (await response.body.json()) as ListedAgent[];
      const live = listed.filter(({ role, state }) => role === 'agent' && state === 'live');
      this.hosts = new Set(live.map(({ host }) => host));
      await new Promise((resolve) => setTimeout(resolve, LIST_POLL_INTERVAL_MS));
    }
  }

  private async sendRequests(): Promise<void> {
    while (!this.stopped) {
      const agents = this.cluster.agents.filter(({ plan }) => this.hosts.has(plan.id));
      this.turn += 1;
      const agent = agents[this.turn % agents.length];
      if (agent === undefined) {
        await new Promise((resolve) => setTimeout(resolve, 10));
        continue;
      }
      const response = await request(`${agent.upstreamUrl}/v1/generate`, {
        method: 'POST',
        body: JSON.stringify({
          request_id: `${this.prompt} ${this.turn}`,
          prompt: `${this.prompt} ${this.turn}`,
          max_tokens: TOKENS,
        }),
      });
      await response.body.dump();
    }
  }
}
