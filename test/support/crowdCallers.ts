import { callRepeatedly, createSummary } from './repeatedCalls.js';

/** Calls of a crowd, each caller on a kept connection. */
export interface CrowdCalls {
  readonly url: string;
  readonly callers: number;
  /** Paths of the callers, in turn. */
  readonly paths: readonly string[];
  readonly durationMs: number;
}

// Calls in a process of its own, and reports how the requests ended. Argument: the calls as JSON.
const argument = process.argv[2];
if (argument !== undefined && process.send !== undefined) {
  const { url, callers, paths, durationMs } = JSON.parse(argument) as CrowdCalls;
  const endsAt = performance.now() + durationMs;
  const summary = createSummary();
  await Promise.all(
    Array.from({ length: callers }, (_, index) =>
      callRepeatedly(url, () => performance.now() < endsAt, summary, {
        path: paths[index % paths.length] ?? '/lookup/1',
        key: 'key-1',
        name: `crowd-${index}`,
      }),
    ),
  );
  process.send({ ...summary, cutIds: [] }, () => {
    process.exit(0);
  });
}
