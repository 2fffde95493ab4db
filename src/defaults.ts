/** Every default of the daemons and the library; units stand in the names. */
export const defaults = {
  protocolVersion: 1,
  /** Largest frame between processes; a 1 MB configuration value and its framing fit. */
  maxFrameBytes: 2 * 1024 * 1024,
  helloTimeoutMs: 2_000,
  /** A link on which nothing else was sent for this long sends a ping. */
  heartbeatIntervalMs: 800,
  /** Two missed heartbeats; with the check interval, a stalled host is avoided in under 2 s. */
  heartbeatTimeoutMs: 1_700,
  heartbeatCheckMs: 250,
  reconnectMinMs: 100,
  reconnectMaxMs: 2_000,

  maxBodyBytes: 1024 * 1024,
  maxHeaderBytes: 16 * 1024,
  /** A caller that needs longer to send its body gets a timeout error. */
  bodyTimeoutMs: 10_000,
  requestDeadlineMs: 30_000,
  maxDeadlineMs: 600_000,
  maxOutputTokens: 512,

  linksPerService: 24,
  /** Links of one entry to agents over all services. */
  maxAgentLinks: 60,
  /** At 120 links per entry, more reports than one a second pass the control budget of an entry. */
  loadReportMinIntervalMs: 1_000,
  loadReportMaxIntervalMs: 1_000,
  /** Extra attempts allowed per first attempt; bounds load amplification in an outage. */
  retryBudgetRatio: 0.1,
  /** Part of a service's repeat ratio that one gateway uses; the rest covers requests counted in another window. */
  repeatBudgetUse: 0.6,
  retryBudgetBurst: 10,
  /** No new work goes to an upstream that shows no progress for this long. */
  stallTimeoutMs: 1_000,

  maxQueuedPerWorkspace: 256,
  maxOrderSlotsPerWorkspace: 10_000,
  orderSlotTtlMs: 120_000,
  /** Order memory outlives the slot's expiry by this margin, so late repeats are answered. */
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
