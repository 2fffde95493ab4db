/** A slot that has been issued but not used. */
interface ReadySlot {
  readonly order: string;
  /** Compared with the `now` that callers of this class pass in. */
  readonly usableUntil: number;
}

/** Pool of unused order slots by service; each slot is handed out once. */
export class SlotStore {
  private readonly slots = new Map<string, ReadySlot[]>();

  /**
   * Adds issued slots.
   *
   * @param service - Service id
   * @param orders - Slot ids
   * @param usableUntil - Last time at which a slot may be handed out, milliseconds
   */
  addSlots(service: string, orders: readonly string[], usableUntil: number): void {
    const ready = this.slots.get(service) ?? [];
    for (const order of orders) ready.push({ order, usableUntil });
    this.slots.set(service, ready);
  }

  /**
   * Takes one usable slot and removes expired ones.
   *
   * @param service - Service id
   * @param now - Current time in milliseconds
   * @returns The slot's id, or undefined if none is usable
   */
  takeSlot(service: string, now: number): string | undefined {
    const ready = this.slots.get(service) ?? [];
    const usable = ready.filter((slot) => slot.usableUntil > now);
    const taken = usable.shift();
    this.slots.set(service, usable);
    return taken?.order;
  }

  /**
   * Counts the usable slots.
   *
   * @param service - Service id
   * @param now - Current time in milliseconds
   * @returns Number of slots
   */
  countSlots(service: string, now: number): number {
    const ready = this.slots.get(service) ?? [];
    return ready.filter((slot) => slot.usableUntil > now).length;
  }
}
