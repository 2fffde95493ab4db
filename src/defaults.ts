/** Defaults of the daemons and the library; names end in the unit. */
export const defaults = {
  protocolVersion: 1,
  /** Maximum frame size between processes; fits a 1 MB configuration value and its framing. */
  maxFrameBytes: 2 * 1024 * 1024,
  helloTimeoutMs: 2_000,
  /** A ping is sent after this long without other outgoing messages on the link. */
  heartbeatIntervalMs: 800,
  /** Two missed heartbeats. With the check interval, requests avoid a stalled host in under 2 s. */
  heartbeatTimeoutMs: 1_700,
  heartbeatCheckMs: 250,
  reconnectMinMs: 100,
  reconnectMaxMs: 2_000,

  /** Longest pause that an upstream may ask for with a refusal; a longer one is cut to it. */
  maxUpstreamPauseMs: 300_000,
  /** Longest time for which an upstream counts as cold after one statement. */
  maxColdMs: 120_000,

  maxBodyBytes: 1024 * 1024,
  maxHeaderBytes: 16 * 1024,
  /** Memory and descriptors of a host whose settings state none. */
  hostMemoryMb: 250,
  hostDescriptors: 4_100,
  /** Connections of callers to an entry. */
  maxEntryConnections: 1_250,
  /** Request bodies and unread responses of all callers of an entry, beyond 16 KB each. */
  maxEntryHeldBytes: 32 * 1024 * 1024,
  /** Requests in progress on one connection of a caller; further ones are not read until one of them has ended. */
  maxRequestsPerConnection: 8,
  /** Requests in progress on all connections of callers, above which a connection with one is read no further. */
  maxPipelinedRequests: 1_000,
  /** Bounds on a response of an upstream; a larger one counts as broken. */
  maxResponseFramingBytes: 64 * 1024,
  maxResponseBodyBytes: 32 * 1024 * 1024,
  /** All incomplete responses of a gateway together, beyond 1 MB each. */
  maxBufferedBytes: 48 * 1024 * 1024,
  maxEventBytes: 256 * 1024,
  /** Response to a call through an agent; leaves room in a frame for the other fields of its message. */
  maxCallResponseBytes: 2 * 1024 * 1024 - 64 * 1024,
  /** Bytes of a stream that a slow caller may leave unread before its upstream is paused. */
  maxUnreadBytes: 256 * 1024,
  /** Maximum response of the configuration store; fits a value of 1 MB in base64. */
  maxStoreResponseBytes: 4 * 1024 * 1024,
  /** Maximum report or list of expert selections of an engine. */
  maxEngineReportBytes: 1024 * 1024,
  /** A caller that takes longer to send its body receives a timeout error. */
  bodyTimeoutMs: 10_000,
  requestDeadlineMs: 30_000,
  maxDeadlineMs: 600_000,
  maxOutputTokens: 512,

  linksPerService: 24,
  /** Links of one entry to agents across all services. */
  maxAgentLinks: 60,
  /** At 120 links per entry, more than one report per second exceeds the control budget of an entry. */
  loadReportMinIntervalMs: 1_000,
  loadReportMaxIntervalMs: 1_000,
  /** Retries allowed per first attempt; bounds load amplification during an outage. */
  retryBudgetRatio: 0.1,
  /** Fraction of a service's retry ratio that one gateway uses; the rest covers requests counted in another window. */
  repeatBudgetUse: 0.6,
  retryBudgetBurst: 10,
  /** An upstream without progress for this long receives no new work. */
  stallTimeoutMs: 1_000,

  maxQueuedPerWorkspace: 256,
  maxOrderSlotsPerWorkspace: 10_000,
  orderSlotTtlMs: 120_000,
  /** Orders are remembered for this long after their slot expires, so that late retries get a response. */
  orderMemoryMarginMs: 60_000,
  drainLimitMs: 30_000,

  suspectTtlMs: 600_000,
  crashesBeforeRefusal: 2,

  readersPerZone: 2,
  digestIntervalMs: 5_000,
  digestBuckets: 64,
  watchTimeoutMs: 25_000,
  platformTimeoutMs: 2_000,
} as const;
