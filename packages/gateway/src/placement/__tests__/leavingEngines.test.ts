import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { SimulatedFleet } from '../../__tests__/fleet/simulatedFleet.ts';

/** Time after which an engine that has told a router that it is leaving must get no request from it. */
const DRAIN_MS = 2_500;

for (const seed of [1, 2, 3]) {
  test(`a third of the engines leaves without a word in the register and gets no more requests (seed ${seed})`, async () => {
    const random = seededRandom(seed);
    const fleet = new SimulatedFleet(6, 9, random);
    const play = async (durationMs: number): Promise<void> => {
      for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 40) {
        fleet.send(['preamble', `subject-${Math.floor(random() * 8)}`]);
        await fleet.advance(40);
      }
    };
    await play(2_000);
    fleet.engines.leave(fleet.engines.aliveIds().slice(0, 3));
    const leftAtMs = fleet.timeline.nowMs;
    await play(8_000);
    await fleet.advance(2_000);
    assert.equal(fleet.arrivalsAtLeavingEngines(DRAIN_MS), 0);
    const later = fleet.outcomes.filter(({ sentAtMs }) => sentAtMs > leftAtMs);
    assert.ok(later.every(({ complete }) => complete));
  });
}
