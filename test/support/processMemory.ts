import { readdirSync, readFileSync } from 'node:fs';

const BYTES_PER_KB = 1024;

/**
 * Reads the largest resident memory that a process has had so far.
 *
 * @param pid - Process id
 * @returns Bytes, `Infinity` for a process that has ended
 */
export function readPeakMemory(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = /^VmHWM:\s*(\d+) kB$/m.exec(status)?.[1];
  return kilobytes === undefined ? Infinity : Number(kilobytes) * BYTES_PER_KB;
}

/**
 * Counts the open descriptors of a process.
 *
 * @param pid - Process id
 * @returns Number of descriptors
 */
export function countDescriptors(pid: number): number {
  return readdirSync(`/proc/${pid}/fd`).length;
}
