import { readFileSync } from 'node:fs';

/** Length of a clock tick in /proc on Linux. */
const TICK_MS = 10;
/** Positions after the command name, which may contain spaces. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** Processor time that a process has used. It says more than elapsed time on a machine that others use too. */
export function cpuTimeMs(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) * TICK_MS;
}
