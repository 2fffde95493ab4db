import { Decoder, Encoder } from 'cbor-x';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import { BodyBuffer } from './bodyBuffer.js';
import { hasMoreItems } from './countItems.js';
import { hotPathValidators } from '../protocol/hotPathValidators.js';
import type { Message, MessageType } from '../protocol/messages.js';
import { messageRegistry } from '../protocol/messages.js';

const HEADER_BYTES = 4;
/** A list of 10,000 upstreams, all of them cold, has 240,000; 2,000,000 in one frame took more than 100 ms. */
const MAX_FRAME_ITEMS = 250_000;
/** Counts have a key for each upstream; 150,000 in one frame took more than 300 ms. */
const MAX_MAP_KEYS = 20_000;
const encoder = new Encoder({ useRecords: false, mapsAsObjects: true, tagUint8Array: false });
const decoder = new Decoder({ useRecords: false, mapsAsObjects: true });

/** Why a frame was rejected; the connection that sent it is closed. */
export interface FrameError {
  readonly code: 'frame_too_large' | 'frame_malformed' | 'unknown_message' | 'invalid_message';
  readonly message: string;
}

/**
 * Encodes a message as a 4-byte big-endian length prefix and a CBOR body.
 *
 * @param message - Message to send
 * @returns The bytes of one frame
 */
export function encodeFrame(message: Message): Buffer {
  const body = encoder.encode(message);
  const frame = Buffer.allocUnsafe(HEADER_BYTES + body.length);
  frame.writeUInt32BE(body.length, 0);
  body.copy(frame, HEADER_BYTES);
  return frame;
}

/**
 * Decodes and validates one frame body.
 *
 * @param body - CBOR bytes without the length prefix
 * @returns The message, or why it was rejected
 */
export function decodeBody(body: Uint8Array): Result<Message, FrameError> {
  if (hasMoreItems(body, MAX_FRAME_ITEMS, MAX_MAP_KEYS)) {
    return Err({
      code: 'frame_malformed',
      message: `frame has more than ${MAX_FRAME_ITEMS} items, or a map too many keys`,
    });
  }
  let value: unknown;
  try {
    value = decoder.decode(body);
  } catch (error) {
    return Err({ code: 'frame_malformed', message: String(error) });
  }
  if (typeof value !== 'object' || value === null || !('type' in value)) {
    return Err({
      code: 'frame_malformed',
      message: 'frame body is not an object with a message type',
    });
  }
  const { type } = value;
  if (typeof type !== 'string') {
    return Err({ code: 'frame_malformed', message: 'message type is not a text' });
  }
  const schema = Object.hasOwn(messageRegistry, type) ? messageRegistry[type] : undefined;
  if (schema === undefined) {
    return Err({ code: 'unknown_message', message: `unknown message type ${type.slice(0, 64)}` });
  }
  if (hotPathValidators[type as MessageType]?.(value) === true) {
    return Ok(value as Message);
  }
  const parsed = schema.safeParse(value);
  if (!parsed.success) {
    const issue = parsed.error.issues[0];
    const path = issue?.path.join('.') ?? '';
    return Err({ code: 'invalid_message', message: `${type}.${path}: ${issue?.message ?? ''}` });
  }
  return Ok(parsed.data as Message);
}

/** Splits a byte stream into messages; keeps an incomplete frame between calls. */
export class FrameReader {
  private partial: BodyBuffer | undefined;
  /** Size of `partial` from which on it can be read further. */
  private neededBytes = 0;

  private hasRead = false;

  /**
   * @param maxFrameBytes - Largest frame
   * @param maxFirstBytes - Largest first frame, before the peer is known
   */
  constructor(
    private readonly maxFrameBytes: number,
    private readonly maxFirstBytes = maxFrameBytes,
  ) {}

  /**
   * Reads received bytes.
   *
   * @param data - Received bytes in order
   * @returns The messages completed by these bytes, or the first error
   */
  readMessages(data: Buffer): Result<Message[], FrameError> {
    const bytes = this.addPartial(data);
    const messages: Message[] = [];
    let offset = 0;
    while (bytes.length - offset >= HEADER_BYTES) {
      const length = bytes.readUInt32BE(offset);
      if (length > (this.hasRead ? this.maxFrameBytes : this.maxFirstBytes)) {
        return Err({
          code: 'frame_too_large',
          message: `frame of ${length} bytes exceeds the limit`,
        });
      }
      const bodyEnd = offset + HEADER_BYTES + length;
      if (bytes.length < bodyEnd) break;
      const decoded = decodeBody(bytes.subarray(offset + HEADER_BYTES, bodyEnd));
      if (decoded.isErr()) return decoded;
      messages.push(decoded.value);
      this.hasRead = true;
      offset = bodyEnd;
    }
    this.keepPartial(bytes.subarray(offset));
    return Ok(messages);
  }

  /** Adds received bytes to an incomplete frame. Joining them on each read would take time with the square of its size. */
  private addPartial(data: Buffer): Buffer {
    const { partial } = this;
    if (partial === undefined) return data;
    partial.add(data);
    if (partial.size < this.neededBytes) return Buffer.alloc(0);
    this.partial = undefined;
    return partial.take();
  }

  private keepPartial(bytes: Buffer): void {
    if (bytes.length === 0) return;
    const hasHeader = bytes.length >= HEADER_BYTES;
    this.neededBytes = HEADER_BYTES + (hasHeader ? bytes.readUInt32BE(0) : 0);
    this.partial = new BodyBuffer(Number.NaN);
    this.partial.add(bytes);
  }
}
