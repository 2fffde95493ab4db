const MAJOR_TYPE_BITS = 5;
const INFO_MASK = 0x1f;
/** Additional information from which on the argument follows in further bytes. */
const FIRST_LONG_INFO = 24;
const LAST_LONG_INFO = 27;
const BYTE_STRING = 2;
const TEXT_STRING = 3;
const MAP = 5;
const WORD_BITS = 32;

/**
 * Checks the number of items in CBOR bytes without decoding them: integers, texts, lists, maps, their keys and so on.
 *
 * @param bytes - CBOR data, which may be malformed
 * @param maxItems - Maximum number
 * @param maxMapKeys - Maximum number of keys that a map states, in data of more than `maxItems` bytes
 * @returns Whether there are more
 */
export function hasMoreItems(bytes: Uint8Array, maxItems: number, maxMapKeys = maxItems): boolean {
  // Each item takes a byte at least.
  if (bytes.length <= maxItems) return false;
  let offset = 0;
  for (let items = 0; offset < bytes.length; items += 1) {
    if (items === maxItems) return true;
    const first = bytes[offset] ?? 0;
    offset += 1;
    const info = first & INFO_MASK;
    let argument = info;
    if (info >= FIRST_LONG_INFO && info <= LAST_LONG_INFO) {
      const size = 1 << (info - FIRST_LONG_INFO);
      argument = readArgument(bytes, offset, size);
      offset += size;
    }
    const major = first >> MAJOR_TYPE_BITS;
    if (major === MAP && argument > maxMapKeys) return true;
    // A string of indefinite length consists of strings.
    if ((major === BYTE_STRING || major === TEXT_STRING) && info <= LAST_LONG_INFO)
      offset += argument;
  }
  return false;
}

function readArgument(bytes: Uint8Array, offset: number, size: number): number {
  let argument = 0;
  for (let index = 0; index < size; index += 1)
    argument = argument * 256 + (bytes[offset + index] ?? 0);
  return Math.min(argument, 2 ** WORD_BITS);
}
