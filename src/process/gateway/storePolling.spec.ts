import { expect } from 'chai';
import { Err, Ok } from 'ts-results-es';
import { waitMs } from '../../../test/support/waiting.js';
import type { RoutingConfiguration } from '../../version/routing/types.js';
import type { Logger, LogFields } from '../logging.js';
import { Metrics } from '../metrics.js';
import { ConfigurationCache } from './configurationCache.js';
import { PollTimer } from './pollTimer.js';
import { StoreEra } from './storeEra.js';
import type { PollingOptions } from './storePolling.js';
import { maintainConfiguration } from './storePolling.js';
import type { ConfigurationPosition } from './types.js';
import { UpstreamDirectory } from './upstreamDirectory.js';
import { ZoneEvacuations } from './zoneEvacuations.js';

const READ_TIMEOUT_MS = 600;

const createConfiguration = (version: number): RoutingConfiguration => ({
  version,
  routes: [],
  services: new Map(),
  limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
});

const discard = (): void => undefined;
const silentLogger: Logger = { debug: discard, info: discard, error: discard, warn: discard };

/** Creates all options but the store and the query of the other gateways. */
function createOptions({ signal }: AbortController): Omit<PollingOptions, 'source' | 'queryPeers'> {
  const directory = new UpstreamDirectory();
  const logger = silentLogger;
  const metrics = new Metrics();
  return {
    configurationCache: new ConfigurationCache(1000),
    directory,
    evacuations: new ZoneEvacuations({ directory, logger, metrics }),
    storeEra: new StoreEra(),
    contact: { recordFailure: discard },
    logger,
    metrics,
    signal,
    timers: { configuration: new PollTimer(signal), upstreams: new PollTimer(signal) },
    readClock: () => performance.now(),
    readMonotonicClock: () => performance.now(),
    onChange: discard,
    onUpstreamStarted: discard,
  };
}

describe('polling of a restored store', () => {
  // Guards against revoked keys that a step of the wall clock, which counts as a suspend, makes valid again too early.
  it('guards against a step of the wall clock that ends the grace period', async () => {
    const controller = new AbortController();
    const configurationCache = new ConfigurationCache(1000);
    const positions: ConfigurationPosition[] = [
      { era: 0, revision: 5 },
      { era: 1, revision: 5 },
      { era: 1, revision: 5 },
    ];
    const warnings: [LogFields, string][] = [];
    const logger: Logger = {
      ...silentLogger,
      warn: (fields, message) => {
        warnings.push([fields, message]);
      },
    };
    let reads = 0;
    let steppedMs = 0;
    await maintainConfiguration({
      ...createOptions(controller),
      source: {
        readConfiguration: () => {
          const position = positions[reads] ?? { era: 1, revision: 5 };
          reads += 1;
          if (reads === positions.length) controller.abort();
          const read = { ...position, evacuated: [], unreadableEvacuations: 0 };
          return Promise.resolve(Ok({ ...read, configuration: createConfiguration(4) }));
        },
        readUpstreams: () => Promise.resolve(Err({ code: 'refused', message: '' })),
        decodeDocument: () => Err({ code: 'malformed', message: '' }),
        close: discard,
      },
      configurationCache,
      logger,
      readClock: () => reads * 200 + steppedMs,
      readMonotonicClock: () => reads * 200,
      queryPeers: () => {
        steppedMs = 60_000;
        return Promise.resolve();
      },
    });
    expect(configurationCache.computeAge(0), 'only the read of the old era is a proof').to.equal(0);
    expect(warnings).to.deep.equal([
      [
        { previousEra: 0, era: 1, previousRevision: 5, revision: 5 },
        'store restored from an older copy',
      ],
    ]);
  });
});

describe('polling of a store that does not answer', () => {
  // A gateway asked the others only after the time-out of each of its own reads, when its keys had almost expired.
  it('guards against a long time until the other gateways are asked again', async () => {
    const controller = new AbortController();
    const queriedAt: number[] = [];
    let reads = 0;
    await maintainConfiguration({
      ...createOptions(controller),
      source: {
        readConfiguration: async () => {
          reads += 1;
          if (reads === 3) controller.abort();
          await waitMs(READ_TIMEOUT_MS);
          return Err({ code: 'timeout', message: '' });
        },
        readUpstreams: () => Promise.resolve(Err({ code: 'timeout', message: '' })),
        decodeDocument: () => Err({ code: 'malformed', message: '' }),
        close: discard,
      },
      queryPeers: () => {
        queriedAt.push(performance.now());
        return Promise.resolve();
      },
    });
    const gapsMs = queriedAt.slice(1).map((at, index) => at - (queriedAt[index] ?? 0));
    expect(gapsMs.length).to.be.greaterThan(2);
    expect(Math.max(...gapsMs)).to.be.below(READ_TIMEOUT_MS);
  });
});
