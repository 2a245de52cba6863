import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { SimulatedFleet } from './simulatedFleet.ts';

/** Time that the users' rules allow after the fifth crash until requests with the part must no longer reach engines. */
const CONTACT_MS = 3_000;
const SUBJECT_COUNT = 12;

interface Traffic {
  readonly durationMs: number;
  readonly intervalMs: number;
  /** Share of requests with the crashing part. */
  readonly taintedShare: number;
}

/** Requests with a common first part and one of several subjects; some have the crashing part instead. */
async function play(
  fleet: SimulatedFleet,
  random: () => number,
  { durationMs, intervalMs, taintedShare }: Traffic,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
    const subject = random() < taintedShare ? 'crashing' : `subject-${Math.floor(random() * SUBJECT_COUNT)}`;
    fleet.send(['preamble', subject]);
    await fleet.advance(intervalMs);
  }
}

for (const seed of [1, 2, 3]) {
  test(`requests with a part that crashes engines stop reaching them within the contact time (seed ${seed})`, async () => {
    const random = seededRandom(seed);
    const fleet = new SimulatedFleet(6, 10, random);
    await play(fleet, random, { durationMs: 2_000, intervalMs: 60, taintedShare: 0 });
    fleet.engines.crashingParts.add('crashing');
    await play(fleet, random, { durationMs: 16_000, intervalMs: 60, taintedShare: 0.08 });
    assert.ok(
      fleet.arrivalsAfterFifthCrash(CONTACT_MS) <= 3,
      `${fleet.arrivalsAfterFifthCrash(CONTACT_MS)} arrivals, ${fleet.engines.crashTimesMs.length} crashes`,
    );
  });
}
