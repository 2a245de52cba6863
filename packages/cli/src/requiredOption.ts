import { UsageError } from './usageError.ts';

/** The value of an option that must be given once. */
export function requiredOption(value: unknown, usage: string): string {
  if (typeof value === 'number') {
    return String(value);
  }
  if (typeof value !== 'string' || value === '') {
    throw new UsageError(`give ${usage} once`);
  }
  return value;
}
