import { readdirSync, rmSync } from 'node:fs';
import { join } from 'node:path';
import { build } from 'esbuild';

/** Directories with the modules that programs of this package import. */
const SOURCE_DIRECTORIES = ['src', 'platform', 'test/standins', 'test/support'];
/** Inside the package, because the compiled modules import its dependencies. */
const OUTPUT_DIRECTORY = 'target/test';

let compiled: Promise<string> | undefined;

/**
 * Compiles the programs of this package, once for all processes that this process starts.
 *
 * A program that tsx compiles and loads uses about 2 s of processor time before its first statement, a compiled one less
 * than half. Tests that start a dozen processes at a time exceeded the time for the ready line.
 *
 * Modules are not bundled, because a bundle evaluates the imported packages before the modules of this package.
 *
 * @param root - Root directory of the package
 * @param script - TypeScript file of the program, relative to the root
 * @returns Path of the compiled program, relative to the root
 */
export async function buildProgram(root: string, script: string): Promise<string> {
  compiled ??= compileModules(root);
  return join(await compiled, script.replace(/\.ts$/, '.js'));
}

async function compileModules(root: string): Promise<string> {
  const directory = join(OUTPUT_DIRECTORY, String(process.pid));
  process.once('exit', () => {
    rmSync(join(root, directory), { recursive: true, force: true });
  });
  await build({
    absWorkingDir: root,
    entryPoints: SOURCE_DIRECTORIES.flatMap((source) => listModules(root, source)),
    outdir: directory,
    outbase: '.',
    platform: 'node',
    format: 'esm',
    target: 'node20',
    logLevel: 'error',
  });
  return directory;
}

function listModules(root: string, source: string): string[] {
  const modules: string[] = [];
  for (const file of readdirSync(join(root, source), { recursive: true, encoding: 'utf8' })) {
    if (file.endsWith('.ts') && !file.endsWith('.spec.ts')) modules.push(join(source, file));
  }
  return modules;
}
