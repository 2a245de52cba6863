import { RefusalReason, SectionName } from '@pimentostall/core';
import { LEAVING_ENGINE_ADDRESS } from '../fleet.ts';
import type { Host } from '../host.ts';
import type { Scenario } from '../scenario.ts';
import { PromiseName } from '../types.ts';
import type { Simulation } from '../simulation.ts';

/** "A few seconds" of the promise on leaving upstreams. */
const LEAVING_LIMIT_MS = 3_000;

/**
 * An engine that leaves gets no new stream after a few seconds. A router that was frozen has the same time from its
 * waking to learn of it.
 */
export function checkLeavingEngine(simulation: Simulation): void {
  const leavingSinceMs = simulation.engines.get(LEAVING_ENGINE_ADDRESS)?.leavingSinceMs ?? Infinity;
  const late = simulation.starts.filter(
    (start) =>
      start.address === LEAVING_ENGINE_ADDRESS &&
      start.atMs > leavingSinceMs + LEAVING_LIMIT_MS &&
      start.sinceThawMs > LEAVING_LIMIT_MS,
  );
  if (late.length > 0) {
    const times = late.map(({ atMs }) => atMs).join(', ');
    simulation.fail(
      PromiseName.LeavingUpstream,
      `new streams at ${times} ms, after the leave at ${leavingSinceMs} ms`,
    );
  }
}

/** A request that a router took before it was asked to stop is not refused because of the stop. */
export function checkDrain(simulation: Simulation, scenario: Scenario): void {
  const cutOff = scenario.calls
    .flatMap(({ exchanges }) => exchanges)
    .filter(({ hostIndex }) => hostIndex === scenario.stoppedHost)
    .filter(({ startedAtMs }) => startedAtMs < scenario.stoppedAtMs)
    .filter(({ reason }) => reason === RefusalReason.Draining);
  for (const { exchangeId } of cutOff) {
    simulation.fail(
      PromiseName.GracefulStop,
      `exchange ${exchangeId} was in progress and was refused by the drain`,
    );
  }
}

/** Follows the revision of each process after each of its steps; it may only grow. */
export function watchRevisions(simulation: Simulation): (host: Host) => void {
  const seen = new Map<string, number>();
  return (host) => {
    const revision = host.core?.board.configuration?.revision ?? 0;
    const process = `${host.index}/${host.generation}`;
    const previous = seen.get(process) ?? 0;
    if (revision < previous) {
      simulation.fail(PromiseName.Configuration, `router ${process} went from ${previous} to ${revision}`);
    }
    seen.set(process, Math.max(previous, revision));
  };
}

/** Accepted changes are in force everywhere at the end, and of two racing changes at most one was accepted. */
export function checkConfiguration(simulation: Simulation, scenario: Scenario): void {
  const accepted = scenario.changes.filter((change) => change.accepted);
  const highest = Math.max(1, ...accepted.map((change) => change.revision));
  for (const host of simulation.hosts) {
    const revision = host.core?.board.configuration?.revision;
    if (host.core !== undefined && (revision === undefined || revision < highest)) {
      simulation.fail(
        PromiseName.Configuration,
        `router ${host.index} is at ${String(revision)}, not ${highest}`,
      );
    }
  }
  const racing = accepted.filter((change) => change.section === SectionName.Classes);
  if (racing.length > 1) {
    simulation.fail(PromiseName.Configuration, 'both racing changes of one section were accepted');
  }
  for (const change of accepted) {
    checkInForce(simulation, change.section, change.text);
  }
}

function checkInForce(simulation: Simulation, section: SectionName, text: string): void {
  for (const host of simulation.hosts) {
    const stored = host.core?.board.configuration?.stored.sections.find(({ name }) => name === section);
    if (stored !== undefined && stored.text !== text) {
      simulation.fail(
        PromiseName.Configuration,
        `router ${host.index} reverted an accepted change of ${section}`,
      );
    }
  }
}
