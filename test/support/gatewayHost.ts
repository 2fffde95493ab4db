import { request } from 'undici';
import { engineProbe } from '../../platform/rankEngineClient.js';
import { headerCodec } from '../../platform/headerCodec.js';
import { StoreClient } from '../../platform/storeClient.js';
import { createLogger } from '../../src/process/logging.js';
import { GatewayDaemon } from '../../src/process/gateway/gatewayDaemon.js';
import {
  defaultCallerLimits,
  defaultResponseLimits,
} from '../../src/process/settings/gatewaySettings.js';
import { reservePorts } from './ports.js';
import { waitUntil } from './waiting.js';

// Runs one gateway in a process of its own, so that a test can stop and continue it.
// Arguments: port of the store; optionally the index of the gateway and the ports of links, front and readiness of each
// gateway, separated by commas.
const [storePort = '', index = '0', ...portLists] = process.argv.slice(2);
const allPorts =
  portLists.length === 0
    ? [await reservePorts(3)]
    : portLists.map((list) => list.split(',').map(Number));
const [linkPort = 0, frontPort = 0, readyPort = 0] = allPorts[Number(index)] ?? [];
const processId = `gateway-${index}`;
const storeAddress = `127.0.0.1:${storePort}`;
const daemon = new GatewayDaemon(
  {
    processId,
    availabilityZone: 'a',
    logLevel: 'error',
    host: '127.0.0.1',
    frontPort,
    readyPort,
    linkAddress: `127.0.0.1:${linkPort}`,
    seeds: allPorts.map(([port = 0]) => `127.0.0.1:${port}`),
    metricsPort: 0,
    storeAddress,
    keyRevocationLimitMs: 60_000,
    stopLimitMs: 8_000,
    repeats: { windowMs: 10_000, ratio: 1, extra: 10_000, gateways: 1 },
    maxUpstreamPauseMs: 300_000,
    callers: defaultCallerLimits,
    responses: defaultResponseLimits,
  },
  {
    source: new StoreClient(storeAddress),
    codec: headerCodec,
    probe: engineProbe,
    logger: createLogger(processId),
  },
);
process.once('SIGTERM', () => {
  void daemon.drain().then(() => process.exit(0));
});
await daemon.start();
await waitUntil('gateway ready', async () => {
  const { statusCode, body } = await request(`http://127.0.0.1:${readyPort}/ready`);
  await body.dump();
  return statusCode === 200;
});
process.stdout.write(`${JSON.stringify({ ready: true, url: `http://127.0.0.1:${frontPort}` })}\n`);
