import type { ChildProcess } from 'node:child_process';
import { spawn } from 'node:child_process';
import { dirname, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { buildProgram } from './compiledPrograms.js';
import { waitMs, waitUntil } from './waiting.js';

const READY_TIMEOUT_MS = 20_000;
const MAX_STDERR_CHARACTERS = 8_000;
const SECOND_SIGNAL_DELAY_MS = 100;
/** Log line of a daemon that has handled the first signal. */
const DRAINING_LINE = '"message":"draining"';

/** Root directory of the package. */
export const rootDirectory = resolve(dirname(fileURLToPath(import.meta.url)), '../..');

/** First JSON line with `"ready": true` on the standard output of a process. */
export type ReadyLine = Readonly<Record<string, unknown>>;

/** A started process that has printed its ready line. */
export interface RunningProcess {
  readonly name: string;
  readonly pid: number;
  readonly ready: ReadyLine;
  /** Resolves with the exit code, or null after a signal. */
  readonly exited: Promise<number | null>;
  isRunning(): boolean;
  /** Sends a signal to the process group. */
  send(signal: NodeJS.Signals): void;
  /** Last part of the standard error output. */
  getLog(): string;
}

const processGroups = new Set<number>();

/** Kills all process groups that are still running; called at exit and after failures. */
export function stopAllProcesses(): void {
  for (const pid of processGroups) sendGroupSignal(pid, 'SIGKILL');
}

/**
 * Lists the started processes that still run.
 *
 * @returns Ids of their process groups
 */
export function listProcesses(): number[] {
  return [...processGroups];
}

process.once('exit', stopAllProcesses);
for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP'] as const) {
  process.once(signal, () => {
    stopAllProcesses();
    process.exit(1);
  });
}

function sendGroupSignal(pid: number, signal: NodeJS.Signals): void {
  try {
    process.kill(-pid, signal);
  } catch {
    // The process group has already exited.
  }
}

/**
 * Starts a TypeScript or JavaScript program of this package and waits for its ready line.
 *
 * @param name - Name of the process in error messages
 * @param script - Path relative to the package root; `.ts` files are compiled first
 * @param args - Program arguments
 * @param nodeOptions - Options of Node
 * @returns The running process
 * @throws Error with the standard error output when the process exits or times out before its ready line
 */
export async function startProcess(
  name: string,
  script: string,
  args: readonly string[],
  nodeOptions: readonly string[] = [],
): Promise<RunningProcess> {
  const program = script.endsWith('.ts') ? await buildProgram(rootDirectory, script) : script;
  const child = spawn(process.execPath, [...nodeOptions, program, ...args], {
    cwd: rootDirectory,
    detached: true,
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const pid = child.pid;
  if (pid === undefined) throw new Error(`${name}: could not be spawned`);
  processGroups.add(pid);
  let log = '';
  child.stderr.setEncoding('utf8').on('data', (text: string) => {
    log = (log + text).slice(-MAX_STDERR_CHARACTERS);
  });
  let running = true;
  const exited = new Promise<number | null>((done) => {
    child.once('exit', (code) => {
      running = false;
      processGroups.delete(pid);
      done(code);
    });
  });
  const ready = await waitForReadyLine(child).catch((error: unknown) => {
    sendGroupSignal(pid, 'SIGKILL');
    throw new Error(`${name}: ${String(error)}\n${log}`);
  });
  return {
    name,
    pid,
    ready,
    exited,
    isRunning: () => running,
    send: (signal) => {
      sendGroupSignal(pid, signal);
    },
    getLog: () => log,
  };
}

function waitForReadyLine(child: ChildProcess): Promise<ReadyLine> {
  return new Promise((done, fail) => {
    const timer = setTimeout(() => {
      fail(new Error(`no ready line within ${READY_TIMEOUT_MS} ms`));
    }, READY_TIMEOUT_MS);
    child.once('exit', (code) => {
      clearTimeout(timer);
      fail(new Error(`exited with code ${code ?? 'null'} before the ready line`));
    });
    let output = '';
    child.stdout?.setEncoding('utf8').on('data', (text: string) => {
      output += text;
      const lines = output.split('\n');
      output = lines.pop() ?? '';
      for (const line of lines) {
        const parsed = parseReadyLine(line);
        if (parsed === undefined) continue;
        clearTimeout(timer);
        done(parsed);
      }
    });
  });
}

function parseReadyLine(line: string): ReadyLine | undefined {
  if (!line.startsWith('{')) return undefined;
  try {
    const value = JSON.parse(line) as ReadyLine;
    return value.ready === true ? value : undefined;
  } catch {
    return undefined;
  }
}

/**
 * Stops a process with SIGTERM, or with SIGKILL after a time-out.
 *
 * @param target - The process
 * @param timeoutMs - Time allowed after SIGTERM, milliseconds
 * @returns Exit code, or null when the process was ended by a signal
 */
export async function stopProcess(
  target: RunningProcess,
  timeoutMs = 5_000,
): Promise<number | null> {
  target.send('SIGCONT');
  target.send('SIGTERM');
  const timer = setTimeout(() => {
    target.send('SIGKILL');
  }, timeoutMs);
  const code = await target.exited;
  clearTimeout(timer);
  return code;
}

/**
 * Sends SIGTERM to a daemon, and once more after it has begun to drain.
 *
 * The kernel merges a signal with a pending one of the same kind, so a daemon that is not scheduled between two signals
 * receives one.
 *
 * @param target - Daemon with work that outlasts the first signal
 * @returns Exit code, or null when the process was ended by a signal
 * @throws Error when the daemon does not handle the first signal
 */
export async function sendSignalTwice(target: RunningProcess): Promise<number | null> {
  target.send('SIGTERM');
  await waitUntil(`${target.name} handles the first signal`, () =>
    target.getLog().includes(DRAINING_LINE),
  );
  await waitMs(SECOND_SIGNAL_DELAY_MS);
  target.send('SIGTERM');
  return target.exited;
}
