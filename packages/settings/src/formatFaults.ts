import type { SettingsFault } from './types.ts';

/** One line for each fault, for standard error. */
export function formatFaults(faults: readonly SettingsFault[]): string {
  return faults
    .map((fault) => `${fault.file}: ${fault.field || 'document'}: ${fault.expected}. ${fault.advice}`)
    .join('\n');
}
