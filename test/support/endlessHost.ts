import type { EndlessPart, EndlessWorker } from '../standins/endlessWorker.js';
import { startEndlessWorker } from '../standins/endlessWorker.js';

// Runs workers whose responses do not end in a process of their own, so that they take no time of the test.
// Arguments: the endless part of each worker.
const workers: EndlessWorker[] = [];
for (const [index, part] of (process.argv.slice(2) as EndlessPart[]).entries()) {
  workers.push(await startEndlessWorker(`i-endless-${index}`, part));
}
const listed = workers.map(({ id, port }) => ({ id, port }));
process.stdout.write(`${JSON.stringify({ workers: listed })}\n`);
process.on('message', () => {
  process.send?.(workers.reduce((sum, { sentBytes }) => sum + sentBytes, 0));
});
