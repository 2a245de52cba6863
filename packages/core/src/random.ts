/** Returns a number in [0, 1). Injected, so that a run can be reproduced from its seed. */
export type RandomSource = () => number;

const UINT32_RANGE = 2 ** 32;

/** Creates a seeded mulberry32 generator. It is deterministic and not suitable for secrets. */
export function seededRandom(seed: number): RandomSource {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / UINT32_RANGE;
  };
}

const IDENTIFIER_GROUPS = 4;

/** Returns a 128-bit identifier in hexadecimal. */
export function randomIdentifier(random: RandomSource): string {
  const groups = Array.from({ length: IDENTIFIER_GROUPS }, () => {
    const value = Math.floor(random() * UINT32_RANGE);
    return value.toString(16).padStart(8, '0');
  });
  return groups.join('');
}
