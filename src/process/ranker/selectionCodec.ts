/** A count takes half a byte; larger counts are scaled. */
const MAX_SCALED_COUNT = 15;

/** Selection counts of one interval, two to a byte. */
export interface PackedSelections {
  /** Selections per unit of a packed count. */
  readonly scale: number;
  readonly counts: Uint8Array<ArrayBuffer>;
}

/**
 * Packs selection counts and subtracts what was packed. The rest of a scaled count remains, so that no selection is lost
 * over several intervals.
 *
 * @param pending - Selections not reported yet, flattened by layer and expert; reduced by this call
 * @returns Packed counts
 */
export function packSelections(pending: Float64Array): PackedSelections {
  let highest = 0;
  for (const value of pending) highest = Math.max(highest, value);
  const scale = Math.max(1, Math.ceil(highest / MAX_SCALED_COUNT));
  const counts = new Uint8Array(Math.ceil(pending.length / 2));
  for (const [index, value] of pending.entries()) {
    const scaled = Math.min(MAX_SCALED_COUNT, Math.max(0, Math.round(value / scale)));
    if (scaled === 0) continue;
    const byte = index >> 1;
    counts[byte] = (counts[byte] ?? 0) | (index % 2 === 0 ? scaled << 4 : scaled);
    pending[index] = value - scaled * scale;
  }
  return { scale, counts };
}

/**
 * Unpacks selection counts.
 *
 * @param packed - Packed counts
 * @param length - Number of counts
 * @returns Selections by layer and expert, or undefined if the number of bytes does not fit the length
 */
export function unpackSelections(
  { scale, counts }: PackedSelections,
  length: number,
): Float64Array | undefined {
  if (counts.length !== Math.ceil(length / 2)) return undefined;
  const selections = new Float64Array(length);
  for (let index = 0; index < length; index += 1) {
    const byte = counts[index >> 1] ?? 0;
    selections[index] = scale * (index % 2 === 0 ? byte >> 4 : byte & MAX_SCALED_COUNT);
  }
  return selections;
}
