const MAX_PAUSE_MS = 300;

/**
 * `checked`: only the engine validates fencing tokens; `ignored`: only the agent's checks apply;
 * `unguarded`: neither, which shows that the checks are needed; `naive`: the baseline, without a
 * prepare phase and without holding steps.
 * `checkedLate` and `ignoredLate` also pause a process between its check of the clock and the
 * sending of a command.
 */
export type Variant = keyof typeof variants;

/** Protections and faults by variant. */
export const variants = {
  checked: { fencing: 'checked', maxPauseMs: Infinity, late: false },
  ignored: { fencing: 'ignored', maxPauseMs: MAX_PAUSE_MS, late: false },
  unguarded: { fencing: 'ignored', maxPauseMs: Infinity, late: false },
  naive: { fencing: 'ignored', maxPauseMs: Infinity, late: false },
  checkedLate: { fencing: 'checked', maxPauseMs: Infinity, late: true },
  ignoredLate: { fencing: 'ignored', maxPauseMs: MAX_PAUSE_MS, late: true },
} as const;
