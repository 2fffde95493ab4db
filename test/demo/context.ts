import { request } from 'undici';
import { CallerClient } from '../../src/client/callerClient.js';
import type { ChatRequest } from '../../src/client/types.js';
import type { AgentPlan, EntryPlan } from '../support/deployment.js';
import { getExampleToken } from '../support/deployment.js';
import type { Cluster, ClusterAgent } from '../support/cluster.js';
import { createExpectedTokens } from '../standins/engineTokens.js';

export const CHAT_SERVICE = 'relief-assistant';
export const ORDER_SERVICE = 'payout-ledger';
export const CALLER_WORKSPACE = 'branch-ikeja';

/** Cluster and client used by the scenarios of the demo. */
export interface ScenarioContext {
  readonly cluster: Cluster;
  readonly client: CallerClient;
}

/** Execution of an order, as recorded by a plain service. */
export interface Execution {
  readonly id: string;
  readonly body: string;
  readonly time: number;
}

/**
 * Creates a caller client of a workspace that uses all entries of a cluster.
 *
 * @param cluster - Running cluster
 * @param workspace - Workspace id; its example token is used
 * @param limits - Client limits that differ from the defaults
 * @returns The client
 */
export function createClient(
  cluster: Cluster,
  workspace = CALLER_WORKSPACE,
  limits: { settleLimitMs?: number; answerTimeoutMs?: number; random?: () => number } = {},
): CallerClient {
  const entries = cluster.entries.map((entry) => entry.httpUrl);
  return new CallerClient({ entries, token: getExampleToken(workspace), ...limits });
}

/**
 * Builds a chat with one message.
 *
 * @param content - Message text
 * @param maxTokens - Maximum number of tokens of the response
 * @returns The request
 */
export function buildChat(content: string, maxTokens: number): ChatRequest {
  return { model: CHAT_SERVICE, messages: [{ role: 'user', content }], max_tokens: maxTokens };
}

/**
 * Computes the complete response of the engine stand-in to a chat.
 *
 * @param chat - Chat request
 * @returns Text of all its tokens
 */
export function computeExpectedText(chat: ChatRequest): string {
  const prompt = chat.messages.map(({ role, content }) => `${role}: ${content}\n`).join('');
  return createExpectedTokens(prompt, chat.max_tokens ?? 0).join('');
}

/**
 * Collects the executions recorded by the plain services, which are the reference for what was executed.
 *
 * @param cluster - Running cluster
 * @returns Executions of all plain services
 */
export async function collectExecutions(cluster: Cluster): Promise<Execution[]> {
  const lists = await Promise.all(
    findAgents(cluster, ORDER_SERVICE).map(async ({ upstreamUrl }) => {
      const response = await request(`${upstreamUrl}/executions`);
      return (await response.body.json()) as Execution[];
    }),
  );
  return lists.flat();
}

/**
 * Finds the agents of a service.
 *
 * @param cluster - Running cluster
 * @param service - Service id
 * @returns Its agents
 */
export function findAgents(cluster: Cluster, service: string): ClusterAgent[] {
  return cluster.agents.filter((agent) => agent.plan.service === service);
}

/**
 * Lists the plans of all daemons.
 *
 * @param cluster - Running cluster
 * @returns Entries and agents
 */
export function listPlans(cluster: Cluster): (EntryPlan | AgentPlan)[] {
  return [...cluster.entries, ...cluster.agents].map(({ plan }) => plan);
}

/**
 * Asserts a condition of a scenario.
 *
 * @param holds - The condition
 * @param message - Error message when it does not hold
 * @throws Error with the message
 */
export function verify(holds: boolean, message: string): asserts holds {
  if (!holds) throw new Error(message);
}
