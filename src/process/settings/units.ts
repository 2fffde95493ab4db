const DURATION_UNITS: Readonly<Record<string, number>> = {
  ms: 1,
  s: 1_000,
  m: 60_000,
  h: 3_600_000,
};
const SIZE_UNITS: Readonly<Record<string, number>> = {
  B: 1,
  KB: 1024,
  MB: 1024 * 1024,
};
const AMOUNT_PATTERN = /^(\d{1,12}(?:\.\d{1,6})?) ?([A-Za-z]+)$/;

/**
 * Parses a duration such as `500ms`, `2s`, `1.5m` or `1h`.
 *
 * @param text - Number with a unit; a number without a unit is invalid
 * @returns Milliseconds, or undefined if the text is invalid
 */
export function parseDuration(text: string): number | undefined {
  return parseAmount(text, DURATION_UNITS);
}

/**
 * Parses a size such as `100B`, `64KB` or `1MB`; 1 KB is 1,024 bytes.
 *
 * @param text - Number with a unit; a number without a unit is invalid
 * @returns Bytes, or undefined if the text is invalid
 */
export function parseSize(text: string): number | undefined {
  return parseAmount(text, SIZE_UNITS);
}

function parseAmount(text: string, units: Readonly<Record<string, number>>): number | undefined {
  const match = AMOUNT_PATTERN.exec(text.trim());
  const unit = match?.[2] ?? '';
  if (match === null || !Object.hasOwn(units, unit)) return undefined;
  const amount = Math.round(Number(match[1]) * (units[unit] ?? 0));
  return Number.isSafeInteger(amount) ? amount : undefined;
}
