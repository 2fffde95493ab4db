import type { Socket } from 'node:net';
import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { encodeFrame } from '../../src/connection/frameCodec.js';
import { defaults } from '../../src/defaults.js';
import type { Message } from '../../src/protocol/messages.js';

const BLOCK_BYTES = 64 * 1024;
const HEADER_BYTES = 4;
const RECONNECT_MS = 50;
/** Room in a frame for its other fields. */
const MARGIN_BYTES = 1024;
const LARGE_BYTES = defaults.maxFrameBytes - MARGIN_BYTES;
const MANY_ADDRESSES = 1_000;
const MANY_KEYS = 150_000;

const repeatFrame = (frame: Buffer): (() => Buffer) => {
  const block = Buffer.concat(
    Array.from({ length: Math.ceil(BLOCK_BYTES / frame.length) }, () => frame),
  );
  return () => block;
};
const repeatMessage = (message: unknown): (() => Buffer) =>
  repeatFrame(encodeFrame(message as Message));

function createAddresses(index: number): string[] {
  return Array.from({ length: MANY_ADDRESSES }, (_, offset) => {
    const number = index * MANY_ADDRESSES + offset;
    return `127.${(number >> 16) & 255}.${(number >> 8) & 255}.${number & 255}:9`;
  });
}

/** What a peer sends without end after its hello: creates each block from the number of blocks before it. */
export const linkFloods = {
  pings: () => repeatMessage({ type: 'ping', sentAt: 0 }),
  hints: () => repeatMessage({ type: 'knowledgeHint' }),
  unhandled: () => repeatMessage({ type: 'draining' }),
  counts: () => repeatMessage({ type: 'gatewayCounts', running: { 'i-1': 1 }, peers: [] }),
  /** The replies are not read. */
  queries: () => repeatMessage({ type: 'knowledgeAsk', call: 1, version: 0 }),
  unknownType: () => repeatMessage({ type: 'none' }),
  largeFrames: () =>
    repeatMessage({
      type: 'knowledgeReply',
      call: 1,
      version: 1,
      document: 'x'.repeat(LARGE_BYTES),
      upstreams: [],
    }),
  manyItems: () =>
    repeatMessage({
      type: 'chunk',
      attempt: 'a',
      sequence: 0,
      tokens: Array.from({ length: LARGE_BYTES }, () => ''),
    }),
  manyKeys: () =>
    repeatMessage({
      type: 'gatewayCounts',
      running: Object.fromEntries(
        Array.from({ length: MANY_KEYS }, (_, index) => [`i-${index}`, 1]),
      ),
      peers: [],
    }),
  addresses: () => (index: number) =>
    encodeFrame({ type: 'gatewayCounts', running: {}, peers: createAddresses(index) }),
  /** Nested arrays of one element. */
  nested: () => {
    const frame = Buffer.alloc(HEADER_BYTES + LARGE_BYTES, 0x81);
    frame.writeUInt32BE(LARGE_BYTES);
    return repeatFrame(frame);
  },
  /** A frame that never ends, byte by byte. */
  partial: () => (index: number) => {
    if (index > 0) return Buffer.alloc(1);
    const start = Buffer.alloc(LARGE_BYTES / 2);
    start.writeUInt32BE(defaults.maxFrameBytes);
    return start;
  },
} as const satisfies Readonly<Record<string, () => (index: number) => Buffer>>;

export type LinkFlood = keyof typeof linkFloods;

/**
 * Floods a link port until the process ends; a link that is closed is opened again.
 *
 * @param port - Loopback port
 * @param flood - What to send
 * @param processId - Id in the hello
 * @param onSent - Called with the number of bytes of each block
 */
export async function floodLink(
  port: number,
  flood: LinkFlood,
  processId: string,
  onSent: (bytes: number) => void,
): Promise<never> {
  const hello = encodeFrame({
    type: 'hello',
    version: defaults.protocolVersion,
    role: 'gateway',
    processId,
    incarnation: `${processId}-1`,
    host: '127.0.0.1:1',
    availabilityZone: 'a',
    upstreams: [],
    features: [
      'rateLimits',
      'crashReports',
      'upstreamStatements',
      'coldUpstreams',
      'upstreamGroups',
    ],
  });
  const createBlock: (index: number) => Buffer = linkFloods[flood]();
  for (;;) {
    const socket: Socket = connect(port, '127.0.0.1');
    socket.on('error', () => undefined);
    socket.once('connect', () => {
      socket.write(hello);
      const send = (index: number): void => {
        if (socket.destroyed) return;
        const block = createBlock(index);
        onSent(block.length);
        socket.write(block, () => setImmediate(send, index + 1));
      };
      send(0);
    });
    await new Promise((resolve) => {
      socket.once('close', resolve);
    });
    await sleep(RECONNECT_MS);
  }
}
