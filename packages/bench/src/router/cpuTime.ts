import { readFileSync } from 'node:fs';

/** Unit of the CPU times in /proc/[pid]/stat on Linux: one clock tick at 100 Hz. */
const CLOCK_TICK_MS = 10;
/** Indexes of utime and stime, counted after the command name because that may contain spaces. */
const UTIME_INDEX = 11;
const STIME_INDEX = 12;

/** User and system CPU time of a process. Unlike elapsed time, it excludes waiting for the CPU on a shared machine. */
export function cpuTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[UTIME_INDEX]) + Number(fields[STIME_INDEX])) * CLOCK_TICK_MS;
}
