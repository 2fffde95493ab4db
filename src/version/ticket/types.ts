import { z } from 'zod';
import { defaults } from '../../defaults.js';
import type { Message } from '../../protocol/messages.js';

/** Schemas of change tickets and of the configuration objects in them. */

const MAX_ID_LENGTH = 128;
const idSchema = z
  .string()
  .min(1)
  .max(MAX_ID_LENGTH)
  .regex(/^[A-Za-z0-9._-]+$/, 'expected letters, digits, ".", "_" or "-"');
const fraction = z.number().min(0).max(1);
const addressSchema = z.string().regex(/^(\[[0-9a-fA-F:]+\]|[0-9.]+):\d{1,5}$/, 'expected ip:port');

export const workspaceSchema = z.strictObject({
  /** SHA-256 of each accepted bearer token, lower-case hex. */
  tokenHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(16),
  /** Guaranteed fraction of a service's capacity, by service id. */
  shares: z.record(idSchema, fraction),
  /** Maximum number of queued requests per agent. */
  maxQueued: z.number().int().positive().default(defaults.maxQueuedPerWorkspace),
  /** Maximum number of retained order slots per agent. */
  maxOrderSlots: z.number().int().positive().default(defaults.maxOrderSlotsPerWorkspace),
});

/** Experts of a mixture-of-experts model that is served by groups of ranks. */
const expertsSchema = z.strictObject({
  layers: z.number().int().positive().max(512),
  expertsPerLayer: z.number().int().positive().max(4096),
  /** Expert replicas that one rank can hold per layer. */
  slotsPerRank: z.number().int().positive(),
  bytesPerExpert: z.number().positive(),
  /** Bandwidth of the weight store available to one group. */
  weightBytesPerSecond: z.number().positive(),
  /** Interval between placement decisions. */
  intervalMs: z.number().int().positive().default(300_000),
  /** Period over which the benefit of reduced skew is counted. */
  horizonMs: z.number().int().positive().default(1_800_000),
});

export const serviceSchema = z.strictObject({
  kind: z.enum(['engine', 'plain']),
  /** Calls are safe to retry on another upstream. */
  repeatable: z.boolean().default(true),
  /** The service accepts orders. */
  orders: z.boolean().default(false),
  defaultDeadlineMs: z.number().int().positive().default(defaults.requestDeadlineMs),
  maxOutputTokens: z.number().int().positive().default(defaults.maxOutputTokens),
  /** Whether the engines reject commands with an outdated fencing token. */
  fencing: z.enum(['checked', 'ignored']).default('ignored'),
  /** Weight of step-time skew in expert placement. */
  skewWeight: z.number().nonnegative().default(1),
  /** Weight of the transferred bytes in expert placement. */
  moveWeight: z.number().nonnegative().default(1),
  experts: expertsSchema.optional(),
});

export const upstreamSchema = z.strictObject({
  service: idSchema,
  host: idSchema,
  availabilityZone: idSchema,
  /** Link address of the agent, `ip:port`. */
  address: addressSchema,
  /** Maximum number of concurrent requests. */
  slots: z.number().int().positive(),
  /** Decode throughput at full batch size. */
  tokensPerSecond: z.number().positive().default(1000),
  /** Whether the upstream verifies the sender of an order. */
  checksCaller: z.boolean().default(false),
  /** Group of ranks that run in lockstep; ranks are numbered from 0. */
  group: z
    .strictObject({ id: idSchema, rank: z.number().int().nonnegative().max(1023) })
    .optional(),
});

/** State schemas by object kind. */
export const objectKinds = {
  workspace: workspaceSchema,
  service: serviceSchema,
  upstream: upstreamSchema,
} as const;

export type ObjectKind = keyof typeof objectKinds;
export type Workspace = z.infer<typeof workspaceSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Upstream = z.infer<typeof upstreamSchema>;
export type ObjectState<Kind extends ObjectKind> = z.infer<(typeof objectKinds)[Kind]>;

/** Object of a ticket: its complete new state or its deletion. */
export type TicketObject =
  | { readonly kind: ObjectKind; readonly id: string; readonly state: unknown }
  | { readonly kind: ObjectKind; readonly id: string; readonly deleted: true };

export interface Ticket {
  readonly ticket: number;
  readonly objects: readonly TicketObject[];
}

/** Object exchanged between processes: key `kind/id`, ticket number, state (null: tombstone). */
export type StoredObject = Extract<Message, { type: 'configuration' }>['objects'][number];
