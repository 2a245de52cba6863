import type { EngineLoads } from './loadSums.ts';
import { FIELDS_PER_ENGINE, MAX_ENGINES } from './loadSums.ts';
import type { LoadMessage } from './types.ts';
import { LoadScope } from './types.ts';

/** Upper bound of each number: the keys have 32 bits. */
const MAX_VALUE = 0xffff_ffff;
/** Maximum length of the id of a router. */
const MAX_ID_LENGTH = 200;

/** Decodes a list of loads; undefined if it is none, too long or has a number that is out of range. */
export function decodeLoads(value: unknown): EngineLoads | undefined {
  const isValid =
    Array.isArray(value) &&
    value.length <= MAX_ENGINES * FIELDS_PER_ENGINE &&
    value.length % FIELDS_PER_ENGINE === 0 &&
    value.every(isValue);
  return isValid ? (value as number[]) : undefined;
}

/** Decodes a message; undefined if it is not valid. */
export function decodeLoadMessage(value: unknown): LoadMessage | undefined {
  if (typeof value !== 'object' || value === null) {
    return undefined;
  }
  const { scope, senderId, loads } = value as Partial<Record<keyof LoadMessage, unknown>>;
  const decodedLoads = decodeLoads(loads);
  const hasScope = scope === LoadScope.Router || scope === LoadScope.Collector;
  const hasSender = typeof senderId === 'string' && senderId.length > 0 && senderId.length <= MAX_ID_LENGTH;
  return hasScope && hasSender && decodedLoads !== undefined
    ? { scope, senderId, loads: decodedLoads }
    : undefined;
}

function isValue(value: unknown): boolean {
  return typeof value === 'number' && Number.isInteger(value) && value >= 0 && value <= MAX_VALUE;
}
