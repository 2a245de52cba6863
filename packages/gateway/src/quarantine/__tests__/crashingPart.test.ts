import assert from 'node:assert/strict';
import { test } from 'node:test';
import { seededRandom } from '@pimentostall/core';
import { LocalReplyReason } from '../../requests/localReplies.ts';
import { SimulatedFleet } from '../../__tests__/fleet/simulatedFleet.ts';

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

const CALM = { durationMs: 2_000, intervalMs: 60, taintedShare: 0 };

/** Share of the sound requests sent from a time on that were answered whole by their first router. */
function servedShare(fleet: SimulatedFleet, fromMs: number, untilMs: number): number {
  const sound = fleet.outcomes.filter(
    ({ isTainted, sentAtMs }) => !isTainted && sentAtMs >= fromMs && sentAtMs < untilMs,
  );
  return sound.filter(({ complete }) => complete).length / Math.max(1, sound.length);
}

for (const seed of [1, 2, 3]) {
  test(`requests with a part that crashes engines stop reaching them within the contact time (seed ${seed})`, async () => {
    const random = seededRandom(seed);
    const fleet = new SimulatedFleet(6, 10, random);
    await play(fleet, random, CALM);
    fleet.engines.crashingParts.add('crashing');
    await play(fleet, random, { durationMs: 16_000, intervalMs: 60, taintedShare: 0.08 });
    assert.ok(
      fleet.arrivalsAfterFifthCrash(CONTACT_MS) <= 3,
      `${fleet.arrivalsAfterFifthCrash(CONTACT_MS)} arrivals, ${fleet.engines.crashTimesMs.length} crashes`,
    );
  });
}

for (const seed of [4, 5, 6, 7]) {
  test(`sound requests that share the first part are served while a part crashes engines (seed ${seed})`, async () => {
    const random = seededRandom(seed);
    const fleet = new SimulatedFleet(6, 10, random);
    await play(fleet, random, CALM);
    fleet.engines.crashingParts.add('crashing');
    await play(fleet, random, { durationMs: 14_000, intervalMs: 60, taintedShare: 0.08 });
    await fleet.advance(2_000);
    const { nowMs } = fleet.timeline;
    assert.ok(servedShare(fleet, nowMs - 10_000, nowMs - 2_000) > 0.9);
  });

  test(`engines that end for other reasons do not get sound requests refused (seed ${seed})`, async () => {
    const random = seededRandom(seed);
    const fleet = new SimulatedFleet(6, 10, random);
    await play(fleet, random, CALM);
    for (let round = 0; round < 4; round += 1) {
      fleet.engines.crash(fleet.engines.aliveIds().slice(0, 3));
      await play(fleet, random, { durationMs: 1_500, intervalMs: 60, taintedShare: 0 });
    }
    await fleet.advance(2_000);
    assert.ok(fleet.outcomes.every(({ reply }) => reply?.reason !== LocalReplyReason.PartQuarantined));
  });

  test(`a first part that crashes engines stops reaching them within the contact time (seed ${seed})`, async () => {
    const random = seededRandom(seed);
    const fleet = new SimulatedFleet(6, 10, random);
    await play(fleet, random, CALM);
    fleet.engines.crashingParts.add('bad preamble');
    for (let elapsedMs = 0; elapsedMs < 12_000; elapsedMs += 60) {
      const preamble = random() < 0.08 ? 'bad preamble' : 'preamble';
      fleet.send([preamble, `subject-${Math.floor(random() * SUBJECT_COUNT)}`]);
      await fleet.advance(60);
    }
    assert.ok(
      fleet.arrivalsAfterFifthCrash(CONTACT_MS) <= 3,
      `${fleet.arrivalsAfterFifthCrash(CONTACT_MS)} arrivals, ${fleet.engines.crashTimesMs.length} crashes`,
    );
  });
}

test('a quarantine outlasts the end of all routers at once', async () => {
  const random = seededRandom(8);
  const fleet = new SimulatedFleet(6, 10, random);
  fleet.engines.crashingParts.add('crashing');
  await play(fleet, random, { durationMs: 4_000, intervalMs: 60, taintedShare: 0.15 });
  const crashCount = fleet.engines.crashTimesMs.length;
  for (let index = 0; index < 6; index += 1) {
    fleet.kill(index);
  }
  await fleet.advance(1_000);
  for (let index = 0; index < 6; index += 1) {
    fleet.restart(index);
  }
  await fleet.advance(100);
  await play(fleet, random, { durationMs: 6_000, intervalMs: 60, taintedShare: 0.15 });
  assert.equal(fleet.engines.crashTimesMs.length, crashCount);
});

test('a router that was cut off, or starts anew, learns the quarantined parts from the others', async () => {
  const random = seededRandom(9);
  const fleet = new SimulatedFleet(6, 10, random);
  fleet.cut(0, true);
  fleet.engines.crashingParts.add('crashing');
  for (let index = 0; index < 4; index += 1) {
    fleet.send(['preamble', 'crashing'], false, 1 + index);
    await fleet.advance(700);
  }
  assert.deepEqual(fleet.isQuarantined('crashing'), [false, true, true, true, true, true]);
  fleet.cut(0, false);
  fleet.kill(1);
  fleet.restart(1);
  await fleet.advance(1_000);
  assert.deepEqual(
    fleet.isQuarantined('crashing'),
    Array.from({ length: 6 }, () => true),
  );
});

test('the cost of news grows with the routers, not with their square', async () => {
  const counts: number[] = [];
  for (const routerCount of [20, 80]) {
    const random = seededRandom(10);
    const fleet = new SimulatedFleet(routerCount, 10, random);
    await fleet.advance(1_000);
    const atRest = fleet.exchangeCount;
    await fleet.advance(10_000);
    assert.equal(fleet.exchangeCount, atRest, 'routers at rest send nothing');
    fleet.engines.crashingParts.add('crashing');
    for (let index = 0; index < 4; index += 1) {
      fleet.send(['crashing'], false);
      await fleet.advance(700);
    }
    assert.deepEqual(
      fleet.isQuarantined('crashing'),
      Array.from({ length: routerCount }, () => true),
    );
    counts.push((fleet.exchangeCount - atRest) / routerCount);
  }
  const [small = 0, large = 0] = counts;
  assert.ok(large < small * 1.5, `${small} and ${large} messages a router`);
});

test('routers seldom exchange records once nothing changes any more', async () => {
  const random = seededRandom(11);
  const fleet = new SimulatedFleet(10, 10, random);
  fleet.engines.crashingParts.add('crashing');
  fleet.send(['crashing'], false);
  await fleet.advance(15_000);
  const before = fleet.exchangeCount;
  await fleet.advance(10_000);
  const perRouterSecond = (fleet.exchangeCount - before) / 10 / 10;
  assert.ok(perRouterSecond > 0.1 && perRouterSecond < 0.3, `${perRouterSecond} exchanges`);
});
