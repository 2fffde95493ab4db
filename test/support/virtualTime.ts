interface ScheduledEvent {
  readonly at: number;
  /** Keeps events of the same time in the order in which they were scheduled. */
  readonly order: number;
  readonly run: () => void;
}

/** Runs scheduled events in the order of their times, without waiting. */
export class VirtualTime {
  /** Current time in milliseconds. */
  now = 0;
  private order = 0;
  /** Latest first. */
  private readonly events: ScheduledEvent[] = [];

  /**
   * Schedules an event.
   *
   * @param at - Time in milliseconds; a past time stands for now
   * @param run - Called when the time is reached
   */
  schedule(at: number, run: () => void): void {
    this.order += 1;
    const event = { at: Math.max(at, this.now), order: this.order, run };
    let low = 0;
    let high = this.events.length;
    while (low < high) {
      const middle = (low + high) >> 1;
      const other = this.events[middle];
      if (other !== undefined && isLater(other, event)) low = middle + 1;
      else high = middle;
    }
    this.events.splice(low, 0, event);
  }

  /**
   * Runs all events up to a time.
   *
   * @param endAt - Time in milliseconds
   */
  runUntil(endAt: number): void {
    for (;;) {
      const next = this.events.at(-1);
      if (next === undefined || next.at > endAt) break;
      this.events.pop();
      this.now = next.at;
      next.run();
    }
    this.now = endAt;
  }
}

function isLater(a: ScheduledEvent, b: ScheduledEvent): boolean {
  return a.at === b.at ? a.order > b.order : a.at > b.at;
}
