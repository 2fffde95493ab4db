import './enableRoarr.js';
import { ROARR } from 'roarr';
import type { LogLevel } from './logging.js';
import { levelNumbers } from './logging.js';

/** About four times the log rate of a busy gateway; a higher rate would slow down requests. */
const MAX_LINES_PER_SECOND = 400;
/** Limit of the output that the log consumer has not read yet. */
const MAX_BUFFERED_BYTES = 256 * 1024;
const SECOND_MS = 1_000;
/** Extracts the level without the cost of parsing each line as JSON. */
const LEVEL_FIELD = /"logLevel":(\d+)/;

/** Destination of log lines. */
export interface LogSink {
  readonly writableLength: number;
  write(text: string): unknown;
}

/**
 * Writes log lines to a sink with a rate limit and without waiting for the sink.
 *
 * Dropped lines are counted; the count is written before the next line that is not dropped.
 *
 * @param level - Minimum level that is written
 * @param sink - Standard output, or a test double
 * @param readClock - Monotonic clock in milliseconds
 */
export function openBoundedLog(
  level: LogLevel,
  sink: LogSink = process.stdout,
  readClock: () => number = () => performance.now(),
): void {
  let windowStartedAt = readClock();
  let lines = 0;
  let droppedLines = 0;
  // A closed log pipe must not terminate the process.
  if (sink === process.stdout) process.stdout.on('error', () => undefined);
  const minLevel = levelNumbers[level];
  ROARR.write = (line) => {
    if (Number(LEVEL_FIELD.exec(line)?.[1] ?? minLevel) < minLevel) return;
    const now = readClock();
    if (now - windowStartedAt >= SECOND_MS) {
      windowStartedAt = now;
      lines = 0;
    }
    if (lines >= MAX_LINES_PER_SECOND || sink.writableLength > MAX_BUFFERED_BYTES) {
      droppedLines += 1;
      return;
    }
    lines += 1;
    if (droppedLines > 0) {
      sink.write(`${JSON.stringify({ message: 'log lines left out', count: droppedLines })}\n`);
      droppedLines = 0;
    }
    sink.write(`${line}\n`);
  };
}
