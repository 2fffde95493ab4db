import type { RunOptions, RunResult } from './types.js';

/**
 * Loads the module of one bench or proof on demand, so that a missing module does not affect the others.
 *
 * @param path - Module, relative to this directory
 * @param name - Exported function
 * @returns The function
 * @throws Error when the module does not export the function
 */
export async function loadRun(
  path: string,
  name: string,
): Promise<(options: RunOptions) => Promise<RunResult>> {
  const module = (await import(path)) as Record<string, unknown>;
  const run = module[name];
  if (typeof run !== 'function') throw new Error(`${path} does not export ${name}`);
  return run as (options: RunOptions) => Promise<RunResult>;
}
