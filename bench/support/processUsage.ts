import { readFileSync } from 'node:fs';

const KILOBYTES_PER_MEGABYTE = 1024;
/** Linux reports CPU time in ticks of 1/100 s on every supported architecture. */
const TICKS_PER_SECOND = 100;
const USER_TICKS_FIELD = 11;
const SYSTEM_TICKS_FIELD = 12;

/**
 * Reads the resident memory of a process.
 *
 * @param pid - Process id
 * @returns Megabytes
 */
export function readResidentMegabytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const kilobytes = /^VmRSS:\s+(\d+) kB$/m.exec(status)?.[1];
  return Number(kilobytes) / KILOBYTES_PER_MEGABYTE;
}

/**
 * Reads the CPU time of a process.
 *
 * @param pid - Process id
 * @returns Seconds of user and system time
 */
export function readCpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[USER_TICKS_FIELD]) + Number(fields[SYSTEM_TICKS_FIELD]);
  return ticks / TICKS_PER_SECOND;
}
