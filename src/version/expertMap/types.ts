import { z } from 'zod';

const count = z.number().int().nonnegative();
const outcome = z.enum(['commit', 'abort']);
const change = z.object({ change: count, version: count, step: count });
const common = { incarnation: count, fencing: count };

/** Bodies of `rankControl` messages; `incarnation` is that of the group. */
export const mapMessage = z.discriminatedUnion('type', [
  /**
   * Starts a group incarnation with a full map and invalidates earlier state of the rank. It names the
   * rank's process, because a restarted process that joined the incarnation of its predecessor
   * would have lost the promises and steps made there. The sender fixes the processes of all ranks
   * when it chooses the number, and chooses a new one when any of them is replaced.
   */
  z.object({ type: z.literal('begin'), ...common, process: z.string(), version: count }),
  z.object({ type: z.literal('begun'), ...common, process: z.string(), rank: count }),
  z.object({ type: z.literal('prepare'), ...common, ...change.shape }),
  z.object({ type: z.literal('prepared'), ...common, rank: count, change: count }),
  z.object({ type: z.literal('decide'), ...common, change: count, outcome }),
  z.object({ type: z.literal('decided'), ...common, rank: count, change: count }),
  z.object({ type: z.literal('promiseRequest'), ...common }),
  z.object({
    type: z.literal('promise'),
    ...common,
    rank: count,
    prepared: z.object({ ...change.shape, fencing: count }).nullable(),
    decision: z.object({ change: count, outcome }).nullable(),
  }),
  /** A holding rank asks the other ranks for a decision. */
  z.object({ type: z.literal('query'), ...common, rank: count, change: count }),
]);

export type MapMessage = z.infer<typeof mapMessage>;
export type MapMessageOf<Type extends MapMessage['type']> = Extract<MapMessage, { type: Type }>;
export type Outcome = z.infer<typeof outcome>;

/** Receiver of a message: a rank, every other rank, or the coordinator with the fencing number. */
export type Target =
  { readonly rank: number } | { readonly ranks: 'others' } | { readonly coordinator: number };
export type SendMapMessage = (target: Target, message: MapMessage) => void;

/** Orders commands across group incarnations and coordinators. */
export interface FencingToken {
  readonly incarnation: number;
  readonly fencing: number;
}

/** Commands to the engine of one rank. */
export interface EngineCommands {
  readonly fencing: 'checked' | 'ignored';
  /**
   * Schedules a map; `step` is the first step that uses it.
   *
   * @returns False when the engine refused the fencing token as outdated
   */
  setMap(version: number, step: number, token: FencingToken): boolean;
  /**
   * Map that the engine reports as in use or scheduled; undefined while a command is unanswered.
   */
  readMap(): number | undefined;
}
