import { randomBytes } from 'node:crypto';

const UINT32_RANGE = 2 ** 32;

/** Random number in [0, 1) from the system's CSPRNG, so that identifiers do not repeat across processes. */
export function systemRandom(): number {
  return randomBytes(4).readUInt32LE() / UINT32_RANGE;
}
