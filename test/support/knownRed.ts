import { readFileSync } from 'node:fs';
import type { RootHookObject } from 'mocha';

const TITLE_PREFIX = 'test: ';

function readKnownFailures(): Set<string> {
  const text = readFileSync(new URL('../../KNOWN-RED.txt', import.meta.url), 'utf8');
  const titles = new Set<string>();
  for (const line of text.split('\n')) {
    if (line.startsWith(TITLE_PREFIX)) titles.add(line.slice(TITLE_PREFIX.length).trim());
  }
  return titles;
}

const titles = readKnownFailures();
/** Set by `npm run test:known`. */
const runsKnownOnly = process.env.KNOWN_RED === 'only';

/** Skips the tests listed in KNOWN-RED.txt and prints their titles, or runs only these and prints how each ended. */
export const mochaHooks: RootHookObject = {
  beforeEach(this: Mocha.Context) {
    const title = this.currentTest?.fullTitle() ?? '';
    if (titles.has(title) === runsKnownOnly) return;
    if (!runsKnownOnly) process.stdout.write(`KNOWN-RED, not run: ${title}\n`);
    this.skip();
  },
  afterEach(this: Mocha.Context) {
    const { currentTest } = this;
    if (!runsKnownOnly || currentTest === undefined || currentTest.isPending()) return;
    const outcome = currentTest.state === 'failed' ? 'failed as listed' : 'passed';
    process.stdout.write(`KNOWN-RED, ${outcome}: ${currentTest.fullTitle()}\n`);
  },
};
