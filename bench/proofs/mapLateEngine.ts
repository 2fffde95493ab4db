import type { EngineCommands } from '../../src/version/expertMap/types.js';

export interface LateEngineOptions {
  readonly engine: EngineCommands;
  /** Pause of the process; this engine sets its end, in milliseconds. */
  readonly pause: { until: number };
  /** End of a pause at the present command, or undefined for none. */
  readonly decidePause: () => number | undefined;
  /** Runs a command at a time in milliseconds. */
  readonly defer: (at: number, run: () => void) => void;
}

/**
 * Pauses the process between its check of the clock and the departure of some commands; such a
 * command arrives when the process resumes.
 *
 * @param options - Engine, pause and schedule
 * @returns Commands as the process gives them
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
