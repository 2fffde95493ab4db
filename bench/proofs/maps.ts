import { MapSchedule } from './mapSchedule.js';
import type { Variant } from './mapVariants.js';
import { variants } from './mapVariants.js';

/**
 * Runs seeded fault schedules against each variant of the map change protocol.
 *
 * @param options - First seed and number of schedules
 * @returns Sums per variant; `mixed_steps` and `stalled_forever` must be 0 for `checked`,
 *   `ignored` and `checkedLate`
 */
export async function proveMaps(options: { seed: number; count: number }): Promise<unknown> {
  const results: Record<string, unknown> = { seed: options.seed, count: options.count };
  for (const variant of Object.keys(variants) as Variant[]) {
    // Yields to pending microtasks between the long computations.
    await Promise.resolve();
    results[variant] = proveVariant(variant, options);
  }
  return results;
}

function proveVariant(
  variant: Variant,
  { seed, count }: { seed: number; count: number },
): Record<string, number> {
  const sums = {
    changes: 0,
    committed: 0,
    aborted: 0,
    steps: 0,
    mixed_steps: 0,
    stalled_forever: 0,
  };
  for (let index = 0; index < count; index += 1) {
    const result = new MapSchedule(`${seed}/${index}`, variant).run();
    sums.changes += result.changes;
    sums.committed += result.committed;
    sums.aborted += result.aborted;
    sums.steps += result.steps;
    sums.mixed_steps += result.mixedSteps;
    sums.stalled_forever += result.isStalled ? 1 : 0;
  }
  return sums;
}
