import { SectionName } from '@pimentostall/core';
import { LEAVING_ENGINE_ADDRESS } from '../fleet.ts';
import type { Scenario } from '../scenario.ts';
import type { FaultKind } from '../types.ts';
import { FaultKind as Kind, PromiseName } from '../types.ts';
import type { World } from '../world.ts';

/** "A few seconds" of the promise on leaving upstreams. */
const LEAVING_LIMIT_MS = 3_000;

/** Faults after which a router may send to a leaving engine because it was frozen or cannot reach it to learn. */
const BLINDING_FAULTS: readonly FaultKind[] = [Kind.Freeze, Kind.FreezeInWindow];

/** An engine that leaves gets no new stream after a few seconds. */
export function checkLeavingEngine(world: World): void {
  const engine = world.engines.get(LEAVING_ENGINE_ADDRESS);
  const leavingSinceMs = engine?.leavingSinceMs;
  const blinded = world.plan.struck.some((kind) => BLINDING_FAULTS.includes(kind));
  if (engine === undefined || leavingSinceMs === undefined || blinded) {
    return;
  }
  const late = engine.startTimesMs.filter((startMs) => startMs > leavingSinceMs + LEAVING_LIMIT_MS);
  if (late.length > 0) {
    world.fail(
      PromiseName.LeavingUpstream,
      `new streams ${late.join(', ')} ms after leave at ${leavingSinceMs} ms`,
    );
  }
}

/** Follows the revision of each process; it may only grow. */
export function watchRevisions(world: World): () => void {
  const seen = new Map<string, number>();
  return () => {
    for (const host of world.hosts) {
      const revision = host.core?.board.configuration?.revision;
      const process = `${host.index}/${host.generation}`;
      const previous = seen.get(process) ?? 0;
      if (host.core !== undefined && (revision ?? 0) < previous) {
        world.fail(
          PromiseName.Configuration,
          `router ${process} went from ${previous} to ${String(revision)}`,
        );
      }
      seen.set(process, Math.max(previous, revision ?? 0));
    }
  };
}

/** Accepted changes are in force everywhere at the end, and of two racing changes at most one was accepted. */
export function checkConfiguration(world: World, scenario: Scenario): void {
  const accepted = scenario.changes.filter((change) => change.accepted);
  const highest = Math.max(1, ...accepted.map((change) => change.revision));
  for (const host of world.hosts) {
    const revision = host.core?.board.configuration?.revision;
    if (host.core !== undefined && (revision === undefined || revision < highest)) {
      world.fail(PromiseName.Configuration, `router ${host.index} is at ${String(revision)}, not ${highest}`);
    }
  }
  const racing = accepted.filter((change) => change.section === SectionName.Classes);
  if (racing.length > 1) {
    world.fail(PromiseName.Configuration, 'both racing changes of one section were accepted');
  }
  for (const change of accepted) {
    checkInForce(world, change.section, change.text);
  }
}

function checkInForce(world: World, section: SectionName, text: string): void {
  for (const host of world.hosts) {
    const stored = host.core?.board.configuration?.stored.sections.find(({ name }) => name === section);
    if (stored !== undefined && stored.text !== text) {
      world.fail(PromiseName.Configuration, `router ${host.index} reverted an accepted change of ${section}`);
    }
  }
}
