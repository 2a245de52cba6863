import { UsageError } from './usageError.ts';

/** Returns the value of an option that must be given exactly once. */
export function requiredOption(value: unknown, usage: string): string {
  if (typeof value === 'number') {
    return String(value);
  }
  if (typeof value !== 'string' || value === '') {
    throw new UsageError(`option ${usage} must be given exactly once`);
  }
  return value;
}
