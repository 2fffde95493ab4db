const WORDS = [
  'soil',
  'moisture',
  'arrears',
  'payout',
  'field',
  'grower',
  'member',
  'branch',
  'valve',
  'summary',
  'week',
  'north',
  'report',
  'due',
  'clear',
  'plan',
];

/**
 * Creates the tokens that the engine stand-in generates for a prompt. They depend only on the prompt and the position.
 *
 * @param prompt - Prompt text
 * @param count - Number of tokens, starting at the first
 * @returns Tokens
 */
export function createExpectedTokens(prompt: string, count: number): string[] {
  const seed = hashText(prompt);
  return Array.from({ length: count }, (_, index) => createToken(seed, index));
}

/**
 * Creates one token.
 *
 * @param seed - Hash of the prompt
 * @param index - Position in the response
 * @returns Token text
 */
export function createToken(seed: number, index: number): string {
  const mixed = Math.imul(seed ^ Math.imul(index + 1, 0x9e3779b1), 0x85ebca6b) >>> 0;
  return `${WORDS[mixed % WORDS.length] ?? ''}${mixed % 97} `;
}

/**
 * Hashes text (FNV-1a, 32 bits).
 *
 * @param text - Text to hash
 * @returns Unsigned hash
 */
export function hashText(text: string): number {
  let hash = 0x811c9dc5;
  for (let index = 0; index < text.length; index += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(index), 0x01000193) >>> 0;
  }
  return hash;
}

/**
 * Splits text into prompt tokens.
 *
 * @param text - Prompt
 * @returns Tokens, one per word
 */
export function splitTokens(text: string): string[] {
  return text.split(/\s+/).filter((word) => word !== '');
}

export interface CacheEvent {
  readonly sequence: number;
  readonly kind: 'stored' | 'evicted';
  readonly block: number;
  readonly at: number;
}

const BLOCK_TOKENS = 16;

/** Prefix cache of bounded size. Blocks are identified by the hash of all tokens up to their end. */
export class PrefixCache {
  readonly events: CacheEvent[] = [];
  private readonly blocks = new Map<number, true>();
  private sequence = 0;

  constructor(private readonly limit: number) {}

  /**
   * Adds a prompt and counts the tokens to compute.
   *
   * @param tokens - Prompt tokens
   * @param now - Current time in milliseconds
   * @returns Tokens that were not cached
   */
  add(tokens: readonly string[], now: number): number {
    let cached = 0;
    let prefix = '';
    for (let end = BLOCK_TOKENS; end <= tokens.length; end += BLOCK_TOKENS) {
      prefix += tokens.slice(end - BLOCK_TOKENS, end).join(' ');
      const block = hashText(prefix);
      if (this.blocks.delete(block)) cached += cached === end - BLOCK_TOKENS ? BLOCK_TOKENS : 0;
      else this.record('stored', block, now);
      this.blocks.set(block, true);
    }
    for (const block of this.blocks.keys()) {
      if (this.blocks.size <= this.limit) break;
      this.blocks.delete(block);
      this.record('evicted', block, now);
    }
    return tokens.length - cached;
  }

  private record(kind: CacheEvent['kind'], block: number, at: number): void {
    this.sequence += 1;
    this.events.push({ sequence: this.sequence, kind, block, at });
    if (this.events.length > 10_000) this.events.shift();
  }
}
