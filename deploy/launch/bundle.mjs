import { execFileSync } from 'node:child_process';
import { copyFileSync, mkdirSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';

const resolvePath = (path) => fileURLToPath(new URL(path, import.meta.url));
const target = resolvePath('../../target/');
const HEAP_FLAG = '--max-old-space-size=128';
/**
 * Optional modules that the programs do not use but would load at each start: the native decoder of cbor-x, which looks
 * for a build of itself with a diagnostic report of the process, and the HTTP/2 client of undici.
 */
const UNUSED_MODULES = /(^cbor-extract|\/client-h2\.js)$/;

mkdirSync(target, { recursive: true });
await build({
  entryPoints: [resolvePath('../../platform/main.ts')],
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minify: true,
  keepNames: true,
  logLevel: 'error',
  outfile: `${target}bundle.cjs`,
  plugins: [
    {
      name: 'undici-client',
      setup(bundler) {
        const shim = resolvePath('undiciClient.mjs');
        bundler.onResolve({ filter: /^undici$/ }, () => ({ path: shim }));
        const library = resolvePath('../../node_modules/');
        bundler.onResolve({ filter: /^undici\/lib\// }, ({ path }) => ({ path: library + path }));
      },
    },
    {
      name: 'unused-modules',
      setup(bundler) {
        bundler.onResolve({ filter: UNUSED_MODULES }, ({ path }) => ({
          path,
          namespace: 'unused',
        }));
        bundler.onLoad({ filter: /.*/, namespace: 'unused' }, () => ({
          contents: 'module.exports = undefined;',
        }));
      },
    },
  ],
});
copyFileSync(resolvePath('launch.cjs'), `${target}parsleyfold.cjs`);
// V8 accepts a code cache only under the flags with which it was created, so the flag of the programs is set.
execFileSync(process.execPath, [HEAP_FLAG, `${target}parsleyfold.cjs`, '--build-code-cache']);
