import { z } from 'zod';
import type { Hello, MessageHandlers, PeerLink } from '../../connection/peerLink.js';
import { mapMessage } from '../../version/expertMap/types.js';

const count = z.number().int().nonnegative();

/** Bodies of `rankControl` outside the map change protocol. */
const groupStateMessage = z.discriminatedUnion('type', [
  /** State of a rank, sent to every peer on each change and at a fixed interval. */
  z.object({
    type: z.literal('status'),
    rank: count,
    /** Host and incarnation of the agent, number of its session, and restarts of its participant. */
    process: z.string().min(1).max(512),
    /** Group incarnation that the process has joined; 0 for none. */
    incarnation: count,
    /** Highest number that the rank has seen. */
    fencing: count,
    /** Highest fencing number that the rank has promised. */
    promised: count,
    version: count,
    /** First step that the engine has not been permitted to run. */
    step: count,
    /** Map versions whose weights are loaded. */
    loaded: z.array(count).max(64),
  }),
  /** Content of a map version: experts by layer and rank. */
  z.object({
    type: z.literal('plan'),
    version: count,
    placement: z.array(z.array(z.array(count).readonly()).readonly()).readonly(),
  }),
  /** Load of one rank by layer and expert. */
  z.object({
    type: z.literal('expertLoad'),
    rank: count,
    load: z.array(z.array(z.number().nonnegative()).readonly()).readonly(),
  }),
]);

export const groupBody = z.discriminatedUnion('type', [mapMessage, groupStateMessage]);

export type GroupBody = z.infer<typeof groupBody>;
export type GroupBodyOf<Type extends GroupBody['type']> = Extract<GroupBody, { type: Type }>;
export type GroupStatus = GroupBodyOf<'status'>;

/** Reason why a `rankControl` message was refused. */
export interface RankControlError {
  readonly code: 'invalid_rank_control' | 'unknown_group' | 'unknown_rank';
  /** Field of the body. */
  readonly path: string;
  readonly message: string;
}

/** Group interface for the agent daemon; absent for an agent that does not take part in groups. */
export interface GroupHook {
  readonly handlers: MessageHandlers;
  /** Adds a link opened by a peer. */
  addLink(link: PeerLink): void;
  start(self: () => Hello): void;
  stop(): Promise<void>;
  describe(): unknown;
}
