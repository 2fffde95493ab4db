import type { EngineCommands } from '../../src/version/expertMap/types.js';

export interface LateEngineOptions {
  readonly engine: EngineCommands;
  /** Pause of the process; the engine sets its end, in milliseconds. */
  readonly pause: { until: number };
  /** Returns the end of a pause that starts at the current command, or undefined for no pause. */
  readonly decidePause: () => number | undefined;
  /** Runs a command at the given time in milliseconds. */
  readonly defer: (at: number, run: () => void) => void;
}

/**
 * Wraps an engine so that the process is sometimes paused between its check of the clock and the
 * sending of a command; such a command arrives when the process resumes.
 *
 * @param options - Engine, pause and scheduler
 * @returns Engine commands for the process
 */
export function createLateEngine(options: LateEngineOptions): EngineCommands {
  const { engine, pause, decidePause, defer } = options;
  let unanswered = false;
  return {
    fencing: engine.fencing,
    setMap: (version, step, token) => {
      const until = decidePause();
      if (until === undefined) return engine.setMap(version, step, token);
      pause.until = until;
      unanswered = true;
      defer(until, () => {
        unanswered = false;
        engine.setMap(version, step, token);
      });
      return true;
    },
    readMap: () => (unanswered ? undefined : engine.readMap()),
  };
}
