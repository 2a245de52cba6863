import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { SimulatedFleet } from '../../__tests__/fleet/simulatedFleet.ts';
import { LocalReplyReason } from '../../requests/localReplies.ts';

/** Requests that may reach an engine that asked for time, from half a second after its response on. */
const ALLOWED_ARRIVALS = 2;
const SLACK_MS = 500;

async function play(
  fleet: SimulatedFleet,
  random: () => number,
  durationMs: number,
  intervalMs: number,
): Promise<void> {
  for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += intervalMs) {
    fleet.send(['preamble', `subject-${Math.floor(random() * 8)}`]);
    await fleet.advance(intervalMs);
  }
}

for (const seed of [1, 2, 3]) {
  test(`engines that ask for time in turn during a burst get no requests within it (seed ${seed})`, async () => {
    const random = seededRandom(seed);
    const fleet = new SimulatedFleet(2, 4, random);
    const ids = fleet.engines.aliveIds();
    await play(fleet, random, 1_000, 40);
    for (let round = 0; round < 4; round += 1) {
      fleet.engines.shed([ids[round] ?? ''], 5_000);
      await play(fleet, random, 1_500, 8);
    }
    await play(fleet, random, 3_000, 40);
    assert.ok(fleet.engines.askedForTime.length > 0);
    assert.ok(fleet.maxArrivalsDespiteRequestForTime(SLACK_MS) <= ALLOWED_ARRIVALS);
  });
}

test('callers are refused at once while all engines ask for time, return apart and are then served', async () => {
  const random = seededRandom(4);
  const fleet = new SimulatedFleet(4, 4, random);
  fleet.engines.shed(fleet.engines.aliveIds(), 2_000);
  for (let round = 0; round < 20; round += 1) {
    fleet.send(['preamble', 'subject']);
    fleet.send(['preamble', 'subject']);
    await fleet.advance(20);
  }
  await fleet.advance(8_000);
  assert.ok(fleet.maxArrivalsDespiteRequestForTime(SLACK_MS) <= ALLOWED_ARRIVALS);
  const busy = fleet.outcomes.filter(({ reply }) => reply?.reason === LocalReplyReason.UpstreamsBusy);
  assert.ok(busy.length >= 20, `${busy.length} refused`);
  const returnsAtMs = busy.map(({ sentAtMs, reply }) => sentAtMs + (reply?.retryAfterMs ?? 0));
  assert.ok(Math.max(...returnsAtMs) - Math.min(...returnsAtMs) > 200);
  const returned = fleet.outcomes.filter(({ sentAtMs }) => sentAtMs > 1_900);
  assert.ok(returned.length > 0 && returned.every(({ complete }) => complete));
});

test('the load returns to the engines of a service step by step, not all at once from every router', async () => {
  const random = seededRandom(5);
  const fleet = new SimulatedFleet(8, 8, random);
  const [shedding] = fleet.engines.aliveIds();
  assert.ok(shedding !== undefined);
  await play(fleet, random, 1_000, 20);
  fleet.engines.shed([shedding], 2_000);
  const endsAtMs = fleet.timeline.nowMs + 2_000;
  await play(fleet, random, 6_000, 10);
  const arrivalsWithin = (fromMs: number, untilMs: number): number =>
    fleet.engines.arrivals.filter(
      ({ upstreamId, atMs }) =>
        upstreamId === shedding && atMs >= endsAtMs + fromMs && atMs < endsAtMs + untilMs,
    ).length;
  assert.ok(arrivalsWithin(0, 500) < arrivalsWithin(2_000, 2_500));
});
