import { setTimeout as sleep } from 'node:timers/promises';
import { maintainLink, parseAddress } from '../../connection/linkClient.js';
import type { Hello, PeerLink } from '../../connection/peerLink.js';
import type { ConfigurationPosition, ConfigurationSource } from '../gateway/types.js';
import type { Logger } from '../logging.js';
import type { Metrics } from '../metrics.js';
import type { RankerSettings } from '../settings/rankerSettings.js';
import { computeMaxGaps } from '../../version/routing/maxGaps.js';
import { computeCopyMs } from './changeCosts.js';
import { GroupRoster } from './groupRoster.js';
import type { GroupView } from './groupView.js';
import { OrderTimeout } from './orderTimeout.js';
import { RemoteRank, SharedPlacementEncoder } from './remoteRankOrders.js';
import type { PackedSelections } from './selectionCodec.js';
import type { ExpertLayout } from './types.js';

/** The upstream list and the expert layout change rarely; two coordinators read them. */
const REFRESH_INTERVAL_MS = 4_000;
/** First interval while ranks are missing: no map changes before all are linked. */
const INITIAL_REFRESH_INTERVAL_MS = 100;
/** Growth of the interval while ranks are missing; after a loss of power, engines register again over some seconds. */
const INTERVAL_GROWTH = 1.5;
const MAX_INCOMPLETE_REFRESH_INTERVAL_MS = 600;

export interface GroupLinksOptions {
  readonly view: GroupView;
  readonly settings: RankerSettings;
  readonly source: ConfigurationSource;
  readonly logger: Logger;
  readonly metrics: Metrics;
  readonly signal: AbortSignal;
  readonly self: () => Hello;
}

/** Links of a coordinator to the rankers of its group; feeds their messages into the view of the group. */
export class GroupLinks {
  readonly view: GroupView;
  /** Expert layout of the model, when known. */
  layout: ExpertLayout | undefined;
  private readonly addresses = new Set<string>();
  private readonly roster: GroupRoster;
  private readonly encoder = new SharedPlacementEncoder();
  private readonly orderTimeout: OrderTimeout;

  constructor(private readonly options: GroupLinksOptions) {
    this.view = options.view;
    this.orderTimeout = new OrderTimeout(options.view.size);
    this.roster = new GroupRoster(options.view.group, options.view.size);
  }

  /** Refreshes the expert layout and connects to the rankers of the group until aborted. */
  async refresh(): Promise<void> {
    const { source, logger, signal, settings } = this.options;
    let known: ConfigurationPosition | undefined;
    let incompleteMs = INITIAL_REFRESH_INTERVAL_MS;
    while (!signal.aborted) {
      const configuration = await source.readConfiguration(known);
      if (configuration.isOk()) {
        known = configuration.value;
        const { configuration: routing } = configuration.value;
        const experts = routing?.services.get(settings.service)?.engine?.experts;
        if (routing !== undefined && experts !== undefined) {
          this.layout = {
            layers: experts.sets,
            expertsPerLayer: experts.expertsPerSet,
            slotsPerRank: experts.slotsPerRank,
            maxLoadsPerLayer: experts.maxLoadsPerLayer,
            copyMs: computeCopyMs(experts),
            expertShare: experts.expertShare,
            maxGapMs: computeMaxGaps(routing).get(settings.service),
          };
        }
      }
      const listing = await source.readUpstreams();
      if (listing.isErr()) {
        logger.debug({ code: listing.error.code }, 'failed to read the upstream list');
      } else {
        for (const upstream of listing.value.upstreams) {
          if (upstream.service === settings.service) this.connectToRanker(upstream.address);
        }
      }
      const isComplete = this.layout !== undefined && this.view.ranks.size >= this.view.size;
      const intervalMs = isComplete ? REFRESH_INTERVAL_MS : incompleteMs;
      incompleteMs = isComplete
        ? INITIAL_REFRESH_INTERVAL_MS
        : Math.min(incompleteMs * INTERVAL_GROWTH, MAX_INCOMPLETE_REFRESH_INTERVAL_MS);
      await sleep(intervalMs, undefined, { signal }).catch(() => undefined);
    }
  }

  /**
   * Adds the expert selections of a rank.
   *
   * @param rank - Rank number
   * @param epoch - Epoch in which the experts were selected
   * @param packed - Packed counts
   */
  addSelections(rank: number, epoch: number, packed: PackedSelections): void {
    this.view.addSelections(rank, epoch, packed, this.layout, performance.now());
  }

  private createRemoteRank(link: PeerLink): RemoteRank {
    return new RemoteRank(link, this.encoder, this.orderTimeout, () => performance.now());
  }

  private connectToRanker(engineAddress: string): void {
    const { settings, metrics, logger, signal, self } = this.options;
    const { host } = parseAddress(engineAddress);
    const localAddress = parseAddress(settings.linkAddress);
    const address = `${host}:${localAddress.port}`;
    if (host === localAddress.host) this.roster.setEngine(0, engineAddress);
    if (host === localAddress.host || this.addresses.has(address)) return;
    this.addresses.add(address);
    const controller = new AbortController();
    const remoteRanks = new WeakMap<PeerLink, RemoteRank>();
    let linkedRank: number | undefined;
    void maintainLink({
      address,
      self,
      signal: AbortSignal.any([controller.signal, signal]),
      handlers: {
        rankStatus: (message, link) => {
          if (message.report.group !== this.view.group) {
            controller.abort();
            return;
          }
          // The roster and the view are indexed by rank.
          if (message.report.rank >= this.view.size) return;
          linkedRank = message.report.rank;
          this.roster.setEngine(linkedRank, engineAddress);
          this.roster.sendTo(link);
          const remote = remoteRanks.get(link) ?? this.createRemoteRank(link);
          remoteRanks.set(link, remote);
          const { prepared, armed, held, isLeaving = false, pace = 1, ...report } = message.report;
          this.view.applyStatus(
            { ...message, report: { ...report, isLeaving, prepared, armed, held, pace } },
            (order, epoch) => remote.sendOrder(order, epoch),
            performance.now(),
          );
        },
        rankSelections: ({ epoch, scale, counts }) => {
          if (linkedRank !== undefined) this.addSelections(linkedRank, epoch, { scale, counts });
        },
        rankOrderReply: (message, link) => {
          remoteRanks.get(link)?.receiveReply(message);
        },
      },
      onBytesReceived: (bytes) => {
        metrics.addCount('link_received_bytes', bytes);
      },
      onLink: () => undefined,
      onDown: (reason) => {
        if (linkedRank === undefined) return;
        this.view.removeRank(linkedRank);
        logger.warn({ rank: linkedRank, reason }, 'lost the link to the ranker of a rank');
        linkedRank = undefined;
      },
    });
  }
}
