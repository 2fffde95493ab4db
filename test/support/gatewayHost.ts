import { request } from 'undici';
import { engineProbe } from '../../platform/rankEngineClient.js';
import { headerCodec } from '../../platform/headerCodec.js';
import { StoreClient } from '../../platform/storeClient.js';
import { createLogger } from '../../src/process/logging.js';
import { GatewayDaemon } from '../../src/process/gateway/gatewayDaemon.js';
import { reservePorts } from './ports.js';
import { waitUntil } from './waiting.js';

// Runs one gateway in a process of its own, so that a test can stop and continue it.
const [linkPort = 0, frontPort = 0, readyPort = 0] = await reservePorts(3);
const linkAddress = `127.0.0.1:${linkPort}`;
const storeAddress = `127.0.0.1:${process.argv[2] ?? ''}`;
const daemon = new GatewayDaemon(
  {
    processId: 'gateway-1',
    availabilityZone: 'a',
    logLevel: 'error',
    host: '127.0.0.1',
    frontPort,
    readyPort,
    linkAddress,
    seeds: [linkAddress],
    metricsPort: 0,
    storeAddress,
    keyRevocationLimitMs: 60_000,
    stopLimitMs: 8_000,
    repeats: { windowMs: 10_000, ratio: 1, extra: 10_000, gateways: 1 },
  },
  {
    source: new StoreClient(storeAddress),
    codec: headerCodec,
    probe: engineProbe,
    logger: createLogger('gateway-1'),
  },
);
await daemon.start();
await waitUntil('gateway ready', async () => {
  const { statusCode, body } = await request(`http://127.0.0.1:${readyPort}/ready`);
  await body.dump();
  return statusCode === 200;
});
process.stdout.write(`${JSON.stringify({ ready: true, url: `http://127.0.0.1:${frontPort}` })}\n`);
