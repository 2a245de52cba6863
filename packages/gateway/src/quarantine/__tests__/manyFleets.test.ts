import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { RandomSource } from '@pimentostall/core';
import { seededRandom } from '@pimentostall/core';
import { SimulatedFleet } from '../../__tests__/fleet/simulatedFleet.ts';

const FIRST_SEED = 100;
const SEED_COUNT = 24;
/** Bounds of the users' rules: requests after the contact time, and the share of sound requests that is served. */
const MAX_LATE_ARRIVALS = 3;
const CONTACT_MS = 3_000;
const MIN_SERVED_FRACTION = 0.5;
const CALM_MS = 2_000;
const CRASHING_MS = 18_000;
const RESTART_MS = 1_000;
const CUT_MS = 3_000;

/** Where the part that crashes engines stands in a prompt. */
enum Position {
  BesideSubjects,
  BeforeSubjects,
  Between,
}

const POSITIONS = [Position.BesideSubjects, Position.BeforeSubjects, Position.Between];

interface Scenario {
  readonly fleet: SimulatedFleet;
  readonly random: RandomSource;
  readonly routerCount: number;
  readonly subjectCount: number;
  readonly taintedFraction: number;
  readonly intervalMs: number;
  readonly position: Position;
}

function createScenario(seed: number): Scenario {
  const random = seededRandom(seed);
  const routerCount = 3 + Math.floor(random() * 12);
  return {
    fleet: new SimulatedFleet(routerCount, 6 + Math.floor(random() * 14), random),
    random,
    routerCount,
    subjectCount: 4 + Math.floor(random() * 30),
    taintedFraction: 0.01 + random() * 0.15,
    intervalMs: 20 + Math.floor(random() * 60),
    position: POSITIONS[Math.floor(random() * POSITIONS.length)] ?? Position.Between,
  };
}

async function send(
  { fleet, random, subjectCount, taintedFraction, intervalMs, position }: Scenario,
  mayCrash: boolean,
): Promise<void> {
  // Some subjects and first parts are far more frequent than others.
  const subject = `subject-${Math.floor(random() * random() * subjectCount)}`;
  const preamble = random() < 0.5 ? 'preamble' : `preamble-${Math.floor(random() * 4)}`;
  const crashing: Readonly<Record<Position, readonly string[]>> = {
    [Position.BesideSubjects]: [preamble, 'crashing'],
    [Position.BeforeSubjects]: ['crashing', subject],
    [Position.Between]: [preamble, 'crashing', subject],
  };
  const sound = random() < 0.2 ? [subject] : [preamble, subject];
  fleet.send(mayCrash && random() < taintedFraction ? crashing[position] : sound);
  await fleet.advance(intervalMs);
}

/** Cuts off some routers, kills others and ends a third of the engines, each once or not at all. */
async function playDisruptions(scenario: Scenario): Promise<void> {
  const { fleet, random, routerCount } = scenario;
  const startedAtMs = fleet.timeline.nowMs;
  const cutRouters = [0, 1].filter((index) => index < routerCount - 1 && random() < 0.6);
  const killedRouters = Array.from({ length: routerCount }, (_, index) => index).filter(() => random() < 0.6);
  const cutAtMs = random() * 10_000;
  const killAtMs = random() < 0.5 ? random() * 10_000 : Infinity;
  const endAtMs = random() < 0.5 ? random() * 8_000 : Infinity;
  const steps = [
    {
      atMs: cutAtMs,
      run: () => {
        setCut(fleet, cutRouters, true);
      },
    },
    {
      atMs: cutAtMs + CUT_MS,
      run: () => {
        setCut(fleet, cutRouters, false);
      },
    },
    {
      atMs: killAtMs,
      run: () => {
        killedRouters.forEach((index) => {
          fleet.kill(index);
        });
      },
    },
    {
      atMs: killAtMs + RESTART_MS,
      run: () => {
        killedRouters.forEach((index) => {
          fleet.restart(index);
        });
      },
    },
    {
      atMs: endAtMs,
      run: () => {
        fleet.engines.crash(fleet.engines.aliveIds().slice(0, 4));
      },
    },
  ].sort((a, b) => a.atMs - b.atMs);
  while (fleet.timeline.nowMs - startedAtMs < CRASHING_MS) {
    while ((steps[0]?.atMs ?? Infinity) <= fleet.timeline.nowMs - startedAtMs) {
      steps.shift()?.run();
    }
    await send(scenario, true);
  }
}

function setCut(fleet: SimulatedFleet, routers: readonly number[], isCut: boolean): void {
  for (const index of routers) {
    fleet.cut(index, isCut);
  }
}

test('fleets under cuts, kills and crashes of other causes stop a crashing part and serve sound requests', async () => {
  for (let seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed += 1) {
    const scenario = createScenario(seed);
    const { fleet } = scenario;
    while (fleet.timeline.nowMs < CALM_MS) {
      await send(scenario, false);
    }
    fleet.engines.crashingParts.add('crashing');
    await playDisruptions(scenario);
    await fleet.advance(3_000);
    const lateArrivals = fleet.arrivalsAfterFifthCrash(CONTACT_MS);
    assert.ok(lateArrivals <= MAX_LATE_ARRIVALS, `seed ${seed}: ${lateArrivals} late arrivals`);
    const sound = fleet.outcomes.filter(
      ({ isTainted, sentAtMs }) => !isTainted && sentAtMs > CRASHING_MS / 2 && sentAtMs < CRASHING_MS,
    );
    const servedFraction = sound.filter(({ complete }) => complete).length / sound.length;
    assert.ok(servedFraction > MIN_SERVED_FRACTION, `seed ${seed}: ${servedFraction} served`);
  }
});
