import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { Result } from 'ts-results-es';
import { Err, Ok } from 'ts-results-es';
import type { GroupPlacement } from '../../version/placement/types.js';

/** A map of 1,000 ranks and 100 layers with 5 experts a row takes 0.7 MB. */
const MAX_INFLATED_BYTES = 1024 * 1024;
const MAX_SEVEN_BITS = 0x7f;
const CONTINUATION_BIT = 0x80;
const MAX_NUMBER = 0xff_ff_ff;
const BITS_PER_GROUP = 7;

/**
 * Encodes a map as the rows (experts of one rank in one layer) that differ from an earlier map. All numbers are unsigned
 * and take seven bits to a byte: layers, ranks, and for each changed row its distance from the previous changed row, the
 * number of experts, and the experts. They are deflated: the layers of a complete map repeat each other, and the orders to
 * 95 ranks would otherwise take the coordinator's link for more than a second.
 *
 * @param placement - Experts by layer and rank
 * @param base - Map that the receiver has; undefined encodes all rows
 * @returns Encoded rows
 */
export function encodePlacement(
  placement: GroupPlacement,
  base: GroupPlacement | undefined,
): Uint8Array<ArrayBuffer> {
  const ranks = placement[0]?.length ?? 0;
  const hasSameSize = base?.length === placement.length && base[0]?.length === ranks;
  const bytes: number[] = [];
  pushNumber(bytes, placement.length);
  pushNumber(bytes, ranks);
  let previousRow = -1;
  for (const [layer, rows] of placement.entries()) {
    for (const [rank, experts] of rows.entries()) {
      if (hasSameSize && isSameRow(experts, base[layer]?.[rank])) continue;
      const row = layer * ranks + rank;
      pushNumber(bytes, row - previousRow);
      previousRow = row;
      pushNumber(bytes, experts.length);
      for (const expert of experts) pushNumber(bytes, expert);
    }
  }
  return new Uint8Array(deflateRawSync(Uint8Array.from(bytes)));
}

/**
 * Decodes a map.
 *
 * @param bytes - Encoded rows
 * @param base - Map that the rows change; undefined if all rows are encoded
 * @returns Experts by layer and rank, or `malformed` if the bytes are no complete map
 */
export function decodePlacement(
  bytes: Uint8Array,
  base: GroupPlacement | undefined,
): Result<number[][][], 'malformed'> {
  const inflated = inflate(bytes);
  if (inflated === undefined) return Err('malformed');
  const reader = new NumberReader(inflated);
  const layers = reader.readNumber();
  const ranks = reader.readNumber();
  if (layers === undefined || ranks === undefined) return Err('malformed');
  if (base === undefined && layers * ranks > inflated.length) return Err('malformed');
  if (base !== undefined && (base.length !== layers || base[0]?.length !== ranks))
    return Err('malformed');
  const placement: number[][][] = [];
  for (let layer = 0; layer < layers; layer += 1) {
    const rows = base?.[layer] ?? Array.from({ length: ranks }, () => []);
    placement.push(rows.map((experts) => [...experts]));
  }
  let row = -1;
  let rows = 0;
  while (!reader.isAtEnd) {
    const distance = reader.readNumber();
    const count = reader.readNumber();
    if (distance === undefined || count === undefined || distance === 0) return Err('malformed');
    row += distance;
    rows += 1;
    const experts = placement[Math.floor(row / ranks)]?.[row % ranks];
    if (experts === undefined) return Err('malformed');
    experts.length = 0;
    for (let index = 0; index < count; index += 1) {
      const expert = reader.readNumber();
      if (expert === undefined) return Err('malformed');
      experts.push(expert);
    }
  }
  return base === undefined && rows !== layers * ranks ? Err('malformed') : Ok(placement);
}

function inflate(bytes: Uint8Array): Uint8Array | undefined {
  try {
    return inflateRawSync(bytes, { maxOutputLength: MAX_INFLATED_BYTES });
  } catch {
    return undefined;
  }
}

function isSameRow(experts: readonly number[], base: readonly number[] | undefined): boolean {
  if (base?.length !== experts.length) return false;
  for (const [index, expert] of experts.entries()) if (base[index] !== expert) return false;
  return true;
}

function pushNumber(bytes: number[], value: number): void {
  let rest = value;
  while (rest > MAX_SEVEN_BITS) {
    bytes.push((rest & MAX_SEVEN_BITS) | CONTINUATION_BIT);
    rest >>>= BITS_PER_GROUP;
  }
  bytes.push(rest);
}

/** Reads numbers from bytes; undefined stands for a number that is cut off or too large. */
class NumberReader {
  private offset = 0;

  constructor(private readonly bytes: Uint8Array) {}

  get isAtEnd(): boolean {
    return this.offset >= this.bytes.length;
  }

  readNumber(): number | undefined {
    let value = 0;
    for (let shift = 0; 2 ** shift <= MAX_NUMBER; shift += BITS_PER_GROUP) {
      const byte = this.bytes[this.offset];
      if (byte === undefined) return undefined;
      this.offset += 1;
      value |= (byte & MAX_SEVEN_BITS) << shift;
      if (byte < CONTINUATION_BIT) return value <= MAX_NUMBER ? value : undefined;
    }
    return undefined;
  }
}
