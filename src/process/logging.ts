import './enableRoarr.js';
import type { MessageContext, TransformMessageFunction } from 'roarr';
import { Roarr, ROARR } from 'roarr';

/** A caller chooses its id, which may be as long as a head. */
const MAX_ID_CHARACTERS = 128;

/** Stable field names of log lines. */
export interface LogFields {
  readonly workspace?: string;
  readonly service?: string;
  readonly requestId?: string;
  readonly upstream?: string;
  readonly outcome?: string;
  readonly [field: string]: string | number | boolean | undefined;
}

export type LogLevel = 'debug' | 'info' | 'warn' | 'error';

export interface Logger {
  debug(fields: LogFields, message: string): void;
  info(fields: LogFields, message: string): void;
  warn(fields: LogFields, message: string): void;
  error(fields: LogFields, message: string): void;
}

/** Numeric log levels used in log lines. */
export const levelNumbers: Readonly<Record<LogLevel, number>> = {
  debug: 20,
  info: 30,
  warn: 40,
  error: 50,
};

ROARR.write = () => undefined;

/**
 * Writes log lines at or above a level to standard error, one JSON object per line.
 *
 * @param level - Minimum level that is written
 */
export function openLog(level: LogLevel): void {
  const minLevel = levelNumbers[level];
  ROARR.write = (line) => {
    const parsed = JSON.parse(line) as { context: { logLevel?: number } };
    if ((parsed.context.logLevel ?? 0) >= minLevel) process.stderr.write(`${line}\n`);
  };
}

/**
 * Creates the logger of a process; lines are discarded until `openLog` is called.
 *
 * @param processId - Process id included in each line
 * @returns The logger
 */
export function createLogger(processId: string): Logger {
  return Roarr.child({ application: 'parsleyfold', processId }).child(limitRequestId);
}

/** Shortens the id of a request, with its length in place of the rest. */
const limitRequestId: TransformMessageFunction<MessageContext> = (message) => {
  const { requestId } = message.context;
  if (typeof requestId !== 'string' || requestId.length <= MAX_ID_CHARACTERS) return message;
  const limited = `${requestId.slice(0, MAX_ID_CHARACTERS)}... (${requestId.length} characters)`;
  return { ...message, context: { ...message.context, requestId: limited } };
};
