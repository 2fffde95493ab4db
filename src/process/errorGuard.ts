import type { Logger } from './logging.js';

const WINDOW_MS = 10_000;
/** More errors than this within the window suggest that the state of the process is damaged. */
const MAX_ERRORS_IN_WINDOW = 20;

/** Decides whether a process may go on after an error that no handler has caught. */
export class ErrorGuard {
  private errorTimes: number[] = [];

  /**
   * Records an error.
   *
   * @param now - Monotonic time in milliseconds
   * @returns Whether the process may go on
   */
  recordError(now: number): boolean {
    this.errorTimes = this.errorTimes.filter((time) => now - time < WINDOW_MS);
    this.errorTimes.push(now);
    return this.errorTimes.length <= MAX_ERRORS_IN_WINDOW;
  }
}

/**
 * Keeps the process running after single errors that no handler has caught, so that a malformed message ends only what it
 * belongs to. Exits with status 1 if they do not stop.
 *
 * @param logger - Logger of the process
 */
export function installErrorGuard(logger: Logger): void {
  const guard = new ErrorGuard();
  const handle = (error: unknown): void => {
    const cause = error instanceof Error ? (error.stack ?? error.message) : String(error);
    const isContinuing = guard.recordError(performance.now());
    logger.error({ cause, isContinuing }, 'error that no handler has caught');
    if (!isContinuing) process.exit(1);
  };
  process.on('uncaughtException', handle);
  process.on('unhandledRejection', handle);
}
