import { randomBytes } from 'node:crypto';

const UINT32_RANGE = 2 ** 32;

/** Numbers in [0, 1) from the system's generator: identifiers of different processes must not repeat. */
export function systemRandom(): number {
  return randomBytes(4).readUInt32LE() / UINT32_RANGE;
}
