import './enableRoarr.js';
import { ROARR } from 'roarr';
import type { LogLevel } from './logging.js';
import { levelNumbers } from './logging.js';

/** About four times the lines of a busy gateway; more would cost the requests that they describe. */
const MAX_LINES_PER_SECOND = 400;
/** Lines that the reader of the log has not taken yet. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const SECOND_MS = 1_000;
/** Cheaper than parsing each line. */
const LEVEL_FIELD = /"logLevel":(\d+)/;

/** Where log lines go. */
export interface LogSink {
  readonly writableLength: number;
  write(text: string): unknown;
}

/**
 * Sends log lines to a sink, at most so many a second, and never waits for it.
 *
 * Lines that are left out are counted, and the count is written once there is room.
 *
 * @param level - Lowest level that is written
 * @param sink - Standard output, or a substitute in tests
 * @param readNow - Steady clock in milliseconds
 */
export function openBoundedLog(
  level: LogLevel,
  sink: LogSink = process.stdout,
  readNow: () => number = () => performance.now(),
): void {
  let windowBeganAt = readNow();
  let lines = 0;
  let leftOut = 0;
  // A reader that has gone away must not end the process.
  if (sink === process.stdout) process.stdout.on('error', () => undefined);
  const lowest = levelNumbers[level];
  ROARR.write = (line) => {
    if (Number(LEVEL_FIELD.exec(line)?.[1] ?? lowest) < lowest) return;
    const now = readNow();
    if (now - windowBeganAt >= SECOND_MS) {
      windowBeganAt = now;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_SECOND || sink.writableLength > MAX_BUFFERED_BYTES) {
      leftOut += 1;
      return;
    }
    lines += 1;
    if (leftOut > 0) {
      sink.write(`${JSON.stringify({ message: 'log lines left out', count: leftOut })}\n`);
      leftOut = 0;
    }
    sink.write(`${line}\n`);
  };
}
