import { z } from 'zod';

/** Messages between processes. Binary fields are raw bytes; times are in milliseconds. */

const id = z.string().min(1).max(256);
/** Order ids encode host, workspace and service, each up to 128 characters, in base64. */
const orderId = z.string().min(1).max(1024);
const count = z.number().int().nonnegative();
const bytes = z.instanceof(Uint8Array);

const configurationObject = z.object({
  key: id,
  ticket: count,
  /** Null marks a deletion. */
  state: z.unknown().nullable(),
});

const hello = z.object({
  type: z.literal('hello'),
  version: count,
  role: z.enum(['entry', 'agent', 'operator', 'gateway', 'ranker']),
  processId: id,
  incarnation: id,
  host: id,
  availabilityZone: id,
  /** Upstreams behind an agent; empty for an entry. */
  upstreams: z.array(z.object({ upstream: id, service: id })),
  /** Optional message groups that the sender understands; an older process closes a link on an unknown message. */
  features: z.array(id).optional(),
});

const ping = z.object({ type: z.literal('ping'), sentAt: z.number() });
const pong = z.object({ type: z.literal('pong'), sentAt: z.number() });

/** Entry to agent: run one attempt. */
const request = z.object({
  type: z.literal('request'),
  attempt: id,
  workspace: id,
  service: id,
  /** `chat` streams tokens; `call` is one exchange with a plain service that is safe to repeat. */
  kind: z.enum(['chat', 'call']),
  body: bytes,
  fingerprint: id,
  /** Work units: prompt tokens plus expected output tokens. */
  cost: z.number().positive(),
  remainingMs: z.number(),
  /** Number of tokens delivered by earlier attempts; the engine continues after them. */
  resumeAfter: count,
  resumeText: z.string(),
  /** The request was in flight when another upstream crashed; it may only run alone. */
  suspect: z.boolean().optional(),
});

const cancel = z.object({ type: z.literal('cancel'), attempt: id });

/** Agent to entry: part of a streamed response; `sequence` starts at 0 in each attempt. */
const chunk = z.object({
  type: z.literal('chunk'),
  attempt: id,
  sequence: count,
  /** Text of the tokens in this chunk, in order. */
  tokens: z.array(z.string()),
});

/** Agent to entry: the response is complete. */
const end = z.object({
  type: z.literal('end'),
  attempt: id,
  chunks: count,
  status: count,
  body: bytes,
  finishReason: z.string(),
  usage: z.object({ promptTokens: count, outputTokens: count }),
});

/** Agent to entry: the attempt ended without a complete response. */
const fail = z.object({
  type: z.literal('fail'),
  attempt: id,
  code: id,
  message: z.string(),
  /** False when nothing reached the upstream. */
  started: z.boolean(),
  retryAfterMs: count.optional(),
});

const slotRequest = z.object({
  type: z.literal('slotRequest'),
  call: id,
  workspace: id,
  service: id,
  count: z.number().int().min(1).max(1000),
});

const slotReply = z.object({
  type: z.literal('slotReply'),
  call: id,
  ids: z.array(orderId),
  expiresInMs: count,
  error: z.object({ code: id, message: z.string(), retryAfterMs: count.optional() }).optional(),
});

const orderPut = z.object({
  type: z.literal('orderPut'),
  call: id,
  workspace: id,
  service: id,
  order: orderId,
  body: bytes,
  remainingMs: z.number(),
});

const orderGet = z.object({
  type: z.literal('orderGet'),
  call: id,
  workspace: id,
  service: id,
  order: orderId,
});

/** Marks an order that has not run as not-run, so that it can never run. */
const orderCancel = z.object({
  type: z.literal('orderCancel'),
  call: id,
  workspace: id,
  service: id,
  order: orderId,
});

const orderReply = z.object({
  type: z.literal('orderReply'),
  call: id,
  /** `open`: slot issued, no order received; `running`: sent to the upstream, no response yet. */
  state: z.enum(['open', 'running', 'done', 'not-run', 'unknown', 'rejected']),
  reason: z.string(),
  /** Status and body of the upstream's response when `done`. */
  status: count,
  body: bytes,
  /** Set with `rejected`: the message was rejected without effect. */
  error: z.object({ code: id, message: z.string(), retryAfterMs: count.optional() }).optional(),
});

/** Agent to entry: load of one upstream, sent on change and otherwise at a low rate. */
const load = z.object({
  type: z.literal('load'),
  upstream: id,
  service: id,
  sequence: count,
  running: count,
  queued: count,
  /** Work units queued or running. */
  work: z.number(),
  slots: count,
  tokensPerSecond: z.number(),
  /** False while the upstream is stalled or down. */
  accepting: z.boolean(),
  draining: z.boolean(),
  /** Fingerprints of requests that were in flight during crashes, with the number of crashes. */
  suspects: z.array(z.object({ fingerprint: id, crashes: count, ageMs: count })),
  /** Number of attempts already included in this report. */
  coveredSends: count,
});

const configuration = z.object({
  type: z.literal('configuration'),
  objects: z.array(configurationObject),
});

/** Bucket hashes of the sender's configuration objects. */
const digest = z.object({
  type: z.literal('digest'),
  buckets: z.array(z.string()),
  /** When true, the receiver replies with its digest. */
  reply: z.boolean(),
});

const draining = z.object({ type: z.literal('draining') });

export const maxSealedOrders = 1_000;

/** Agent to entries, when it stops: these orders have not run and never will. */
const ordersSealed = z.object({
  type: z.literal('ordersSealed'),
  orders: z.array(orderId).max(maxSealedOrders),
});

/** Message between ranks of a group or from a map change coordinator; the body is defined in `src/version/expertMap`. */
const rankControl = z.object({ type: z.literal('rankControl'), group: id, body: z.unknown() });

const MAX_LISTING_ID_LENGTH = 200;

/** Gateway to gateway: running requests of the sender by upstream, and the gateways known to it. */
const gatewayCounts = z.object({
  type: z.literal('gatewayCounts'),
  running: z.record(id, count),
  peers: z.array(id),
});

/** Gateway to gateway: rate limits stated by upstreams, after a change; all of them on a new link. */
const upstreamRateLimits = z.object({
  type: z.literal('upstreamRateLimits'),
  limits: z.array(
    z.object({
      /** Id and start of the upstream. */
      upstream: id,
      /** Omitted once the upstream has stopped stating a limit. */
      perSecond: z.number().nonnegative().optional(),
      /** Age of the last request whose response stated this. */
      sentAgeMs: z.number().nonnegative(),
      /** Age of the last response that stated this. */
      receivedAgeMs: z.number().nonnegative(),
    }),
  ),
});

/** Gateway to its permit issuer: all upstreams for which the receiver issues permits to the sender. */
const permitDemand = z.object({
  type: z.literal('permitDemand'),
  upstreams: z.array(
    z.object({
      upstream: id,
      /** The sender has requests for the upstream and no permit. */
      isWanted: z.boolean(),
      /** Permits that expired since the last message. */
      unused: count,
    }),
  ),
});

/** Permit issuer to gateway: permits for requests to upstreams with a rate limit. */
const permits = z.object({
  type: z.literal('permits'),
  permits: z.array(z.object({ upstream: id, count, perSecond: z.number().nonnegative() })),
});

/** Gateway of an earlier version to gateway: an upstream crashed while running this request. */
const crashNotice = z.object({ type: z.literal('crashNotice'), fingerprint: id });

/** Gateway to gateway: an upstream has stated that it leaves. */
const upstreamLeaving = z.object({
  type: z.literal('upstreamLeaving'),
  upstream: id,
  startedAt: z.number().optional(),
});

/** Gateway to gateway: groups that the sender has read from upstreams; on a new link, all that it knows. */
const upstreamGroups = z.object({
  type: z.literal('upstreamGroups'),
  groups: z.array(
    z.object({
      upstream: id,
      startedAt: z.number(),
      /** Omitted for an upstream without a group. */
      group: id.optional(),
      /** Omitted if the sender has not just read it. */
      isOpen: z.boolean().optional(),
    }),
  ),
});

const maxCrashKeys = 512;
const crashKeys = z.array(id).max(maxCrashKeys);

/** Gateway to gateway: an upstream crashed while these requests, with these parts of prompts, were in flight. */
const crashReport = z.object({
  type: z.literal('crashReport'),
  service: id,
  upstream: id,
  ageMs: z.number().nonnegative(),
  requests: crashKeys,
  parts: crashKeys,
});

/** Gateway to gateway: an upstream has written a response to this request, which was in flight in a crash. */
const crashCleared = z.object({
  type: z.literal('crashCleared'),
  service: id,
  requests: crashKeys,
  parts: crashKeys,
});

/** Gateway to gateway: requests the latest configuration and, unless `configurationOnly` is set, the upstream list. */
const knowledgeAsk = z.object({
  type: z.literal('knowledgeAsk'),
  call: count,
  /** Version cached by the requesting gateway; the document is only sent if this version is older. */
  version: count,
  configurationOnly: z.boolean().optional(),
  /** Listing that the requesting gateway has, empty for none; then only what has changed is sent. */
  listing: z.string().max(MAX_LISTING_ID_LENGTH).optional(),
});

/** Gateway to gateway: what the sender has read from the store has changed. */
const knowledgeHint = z.object({ type: z.literal('knowledgeHint') });

/** Cold upstreams with the time for which they stay cold, from when it was sent. */
const coldTimes = z.array(
  z.object({ upstream: id, service: id, remainingMs: z.number().nonnegative() }),
);

/** Ages are measured from the start of the store read, so they are never too low. */
const knowledgeReply = z.object({
  type: z.literal('knowledgeReply'),
  call: count,
  version: count,
  /** Omitted if the age is infinite. */
  proofAgeMs: z.number().nonnegative().optional(),
  document: z.string().optional(),
  listingAgeMs: z.number().nonnegative().optional(),
  /** Newest era of the store known to the sender; omitted if it knows none. */
  era: count.optional(),
  /** What the store lost when that era began has been written again, so reads are complete. */
  isEraComplete: z.boolean().optional(),
  /** Availability zones taken out of service, with age and era of the read; omitted if the sender knows none. */
  evacuations: z
    .object({ zones: z.array(id), ageMs: z.number().nonnegative(), era: count })
    .optional(),
  /** Era of the store in which the listing was read. */
  listingEra: count.optional(),
  /** For how long the sender has missed no change of the list. */
  listingCompleteMs: z.number().nonnegative().optional(),
  /** Id of the sender's listing, if the query named a listing. */
  listing: z.string().max(MAX_LISTING_ID_LENGTH).optional(),
  /** Listing that `upstreams` changes; without it, `upstreams` is complete. */
  listingBase: z.string().max(MAX_LISTING_ID_LENGTH).optional(),
  removedUpstreams: z.array(id).optional(),
  /** Cold upstreams of the list; left out while all are warm. */
  cold: coldTimes.optional(),
  /** Last known state of upstreams that have been removed. */
  removals: z
    .array(z.object({ id, startedAt: count.optional(), heartbeat: count.optional(), era: count }))
    .optional(),
  upstreams: z.array(
    z.object({
      id,
      service: id,
      address: id,
      availabilityZone: id,
      slots: count,
      isDraining: z.boolean(),
      startedAt: count.optional(),
      heartbeat: count.optional(),
    }),
  ),
});

/** Gateway to gateway: upstreams that are cold, as their entries in the store state. */
const coldUpstreams = z.object({ type: z.literal('coldUpstreams'), upstreams: coldTimes });

const layerExperts = z.array(z.array(count));

/** Ranker to coordinator: report of the rank, sent when it has changed and otherwise as a heartbeat. */
const rankStatus = z.object({
  type: z.literal('rankStatus'),
  report: z.object({
    group: id,
    epoch: count,
    rank: count,
    size: count,
    isOpen: z.boolean(),
    isLeaving: z.boolean().optional(),
    startedAt: count,
    pass: count,
    map: count,
    prepared: count.optional(),
    armed: z.object({ version: count, pass: count }).optional(),
    held: count.optional(),
    running: count,
    queued: count,
    /** Omitted by a ranker that does not know it. */
    pace: z.number().positive().optional(),
  }),
  /** Set if the active expert map has changed. */
  experts: layerExperts.optional(),
});

/** Ranker to coordinator: expert selections of the rank since the last such message; sent after its first `rankStatus`. */
const rankSelections = z.object({
  type: z.literal('rankSelections'),
  epoch: count,
  /** Selections per unit of a packed count. */
  scale: count,
  /** Counts by layer and expert, flattened layer by layer, two to a byte. */
  counts: bytes,
});

/** Coordinator to ranker: an order for the rank of this ranker. */
const rankOrder = z.object({
  type: z.literal('rankOrder'),
  call: count,
  epoch: count,
  order: z.discriminatedUnion('kind', [
    z.object({
      kind: z.literal('prepare'),
      version: count,
      /** Call of an earlier order to prepare over this link whose map the rows change; without it, `rows` has all. */
      base: count.optional(),
      rows: bytes,
    }),
    z.object({ kind: z.literal('arm'), version: count, pass: count }),
    z.object({ kind: z.literal('disarm'), version: count }),
    z.object({ kind: z.literal('hold'), pass: count }),
    z.object({ kind: z.literal('release'), pass: count }),
  ]),
});

const rankOrderReply = z.object({
  type: z.literal('rankOrderReply'),
  call: count,
  outcome: z.enum(['begun', 'done', 'refused', 'unknown']),
});

/** Coordinator to rankers: where the engines of the group are, for a deputy that finishes a stalled change. */
const groupRoster = z.object({
  type: z.literal('groupRoster'),
  group: id,
  /** Addresses by rank. */
  engines: z.array(id),
});

const messageSchemas = {
  hello,
  ping,
  pong,
  request,
  cancel,
  chunk,
  end,
  fail,
  slotRequest,
  slotReply,
  orderPut,
  orderGet,
  orderCancel,
  orderReply,
  load,
  configuration,
  digest,
  draining,
  ordersSealed,
  rankControl,
  gatewayCounts,
  knowledgeHint,
  upstreamRateLimits,
  permitDemand,
  permits,
  crashNotice,
  upstreamLeaving,
  coldUpstreams,
  upstreamGroups,
  crashReport,
  crashCleared,
  knowledgeAsk,
  knowledgeReply,
  rankStatus,
  rankSelections,
  rankOrder,
  rankOrderReply,
  groupRoster,
} as const;

/** Schemas by message type. */
export const messageRegistry: Readonly<Record<string, z.ZodType>> = messageSchemas;

export type MessageType = keyof typeof messageSchemas;
export type MessageOf<Type extends MessageType> = z.infer<(typeof messageSchemas)[Type]>;
export type Message = { [Type in MessageType]: MessageOf<Type> }[MessageType];
export type ConfigurationObject = z.infer<typeof configurationObject>;
