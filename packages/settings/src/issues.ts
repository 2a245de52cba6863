import type { ConfigurationFault } from '@pimentostall/core';

/** A fault in a file, with its place. Line and column start at 1. */
export interface SettingsFault {
  readonly file: string;
  readonly line: number;
  readonly column: number;
  readonly field: string;
  readonly expected: string;
  readonly advice: string;
}

/** Prints one line per fault: `file:line:column field: expected ...; what to do`. */
export function formatFaults(faults: readonly (SettingsFault | ConfigurationFault)[]): string {
  return faults.map(formatFault).join('\n');
}

function formatFault(fault: SettingsFault | ConfigurationFault): string {
  const file = 'file' in fault ? fault.file : fault.section;
  const { line, column, field, expected, advice } = fault;
  return `${file}:${line}:${column} ${field}: expected ${expected}; ${advice}`;
}
