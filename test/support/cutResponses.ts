import type { Socket } from 'node:net';

const RESET_DELAY_MS = 5;
const LATE_END_MS = 30;
const LINE_END = '\r\n';

/** How an upstream closes its connection after the bytes of a cut answer. */
export type CutEnding = 'orderly end' | 'reset' | 'end after 30 ms';

/** Writes the bytes of a cut answer and closes the connection, by ending. */
export const cutEndings: Readonly<Record<CutEnding, (socket: Socket, text: string) => void>> = {
  'orderly end': (socket, text) => {
    socket.end(text);
  },
  reset: (socket, text) => {
    if (text !== '') socket.write(text);
    // A reset that follows at once may overtake the bytes.
    setTimeout(() => socket.resetAndDestroy(), RESET_DELAY_MS);
  },
  'end after 30 ms': (socket, text) => {
    if (text !== '') socket.write(text);
    setTimeout(() => socket.end(), LATE_END_MS);
  },
};

/**
 * Lists the beginnings of a head that end within a line, at its end or one byte beside it.
 *
 * @param head - Head or heads with their blank line
 * @returns Cut heads in order of their length
 */
export function listHeadCuts(head: string): string[] {
  const positions = new Set<number>([0, 1]);
  let start = 0;
  while (start < head.length) {
    const end = head.indexOf(LINE_END, start);
    const colon = head.indexOf(':', start);
    const hasName = colon !== -1 && colon < end;
    const inName = hasName ? Math.floor((start + colon) / 2) : start + 'HTTP/1'.length;
    const inValue = hasName ? Math.ceil((colon + 2 + end) / 2) : start + 'HTTP/1.1 20'.length;
    const besideColon = hasName ? [colon, colon + 1] : [start + 'HTTP/1.1 200'.length];
    const inLine = end === start ? [] : [inName, ...besideColon, inValue, end - 1, end];
    for (const position of [...inLine, end + 1, end + LINE_END.length]) positions.add(position);
    start = end + LINE_END.length;
  }
  positions.delete(head.length);
  return [...positions].sort((a, b) => a - b).map((position) => head.slice(0, position));
}

/**
 * Lists all prefixes of a text that are shorter than the text.
 *
 * @param text - Text
 * @returns Prefixes in order of their length, from the empty one on
 */
export function listPrefixes(text: string): string[] {
  return Array.from({ length: text.length }, (_, length) => text.slice(0, length));
}

/**
 * Runs numbered tasks, some at a time.
 *
 * @param count - Number of tasks
 * @param limit - Tasks at a time
 * @param run - Runs a task, counted from 0
 */
export async function runConcurrently(
  count: number,
  limit: number,
  run: (index: number) => Promise<void>,
): Promise<void> {
  let next = 0;
  const runRest = async (): Promise<void> => {
    while (next < count) {
      next += 1;
      await run(next - 1);
    }
  };
  await Promise.all(Array.from({ length: limit }, runRest));
}
