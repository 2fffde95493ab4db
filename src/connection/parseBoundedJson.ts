/** Texts below this size can't exceed what a process has room for, whatever they contain. */
const MIN_CHECKED_LENGTH = 64 * 1024;
const MAX_DEPTH = 64;
/** Lists and objects; a listing of 80,000 keys has one more. */
const MAX_CONTAINERS = 100_000;
/** Fields of all objects. */
const MAX_FIELDS = 300_000;

const codes = {
  quote: 0x22,
  backslash: 0x5c,
  colon: 0x3a,
  list: 0x5b,
  endList: 0x5d,
  object: 0x7b,
  endObject: 0x7d,
};

/**
 * Parses JSON of another process, whose size in memory is not bounded by its bytes: a list without items takes two of them.
 *
 * @param text - Complete text, within the limit of its bytes
 * @returns The value
 * @throws SyntaxError if the text is malformed, nested too deeply, or has too many lists, objects or fields
 */
export function parseBoundedJson(text: string): unknown {
  if (text.length >= MIN_CHECKED_LENGTH && !hasBoundedParts(text))
    throw new SyntaxError('JSON has too many parts or is nested too deeply');
  return JSON.parse(text);
}

function hasBoundedParts(text: string): boolean {
  let depth = 0;
  let containers = 0;
  let fields = 0;
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index);
    if (code === codes.quote) {
      index = findStringEnd(text, index + 1);
    } else if (code === codes.colon) {
      fields += 1;
      if (fields > MAX_FIELDS) return false;
    } else if (code === codes.list || code === codes.object) {
      depth += 1;
      containers += 1;
      if (depth > MAX_DEPTH || containers > MAX_CONTAINERS) return false;
    } else if (code === codes.endList || code === codes.endObject) {
      depth -= 1;
    }
  }
  return true;
}

/** Index of the quote that ends a string, or of the end of the text. */
function findStringEnd(text: string, start: number): number {
  for (let end = text.indexOf('"', start); end !== -1; end = text.indexOf('"', end + 1)) {
    let backslashes = 0;
    while (text.charCodeAt(end - 1 - backslashes) === codes.backslash) backslashes += 1;
    if (backslashes % 2 === 0) return end;
  }
  return text.length;
}
