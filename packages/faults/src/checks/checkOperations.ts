import { RefusalReason, SectionName } from '@pimentostall/core';
import { LEAVING_ENGINE_ADDRESS } from '../fleet.ts';
import type { Host } from '../host.ts';
import type { Scenario } from '../scenario.ts';
import { PromiseName } from '../types.ts';
import type { Simulation } from '../simulation.ts';

/** Bound for "a few seconds" in the promise on leaving upstreams. */
const LEAVING_LIMIT_MS = 3_000;

/**
 * Checks that a leaving engine gets no new stream after a few seconds. A router that was frozen has the same time from
 * the end of its freeze to learn of it.
 */
export function checkLeavingEngine(simulation: Simulation): void {
  const leavingSinceMs = simulation.engines.get(LEAVING_ENGINE_ADDRESS)?.leavingSinceMs ?? Infinity;
  const late = simulation.upstreamStarts.filter(
    (start) =>
      start.address === LEAVING_ENGINE_ADDRESS &&
      start.atMs > leavingSinceMs + LEAVING_LIMIT_MS &&
      start.sinceThawMs > LEAVING_LIMIT_MS,
  );
  if (late.length > 0) {
    const times = late.map(({ atMs }) => atMs).join(', ');
    simulation.reportViolation(
      PromiseName.LeavingUpstream,
      `new streams at ${times} ms, after the leave at ${leavingSinceMs} ms`,
    );
  }
}

/** Checks that no request sent to a router before its stop was refused with the reason Draining. */
export function checkDrain(simulation: Simulation, scenario: Scenario): void {
  const refusedByDrain = scenario.calls
    .flatMap(({ exchanges }) => exchanges)
    .filter(({ hostIndex }) => hostIndex === scenario.stoppedHostIndex)
    .filter(({ startedAtMs }) => startedAtMs < scenario.stoppedAtMs)
    .filter(({ reason }) => reason === RefusalReason.Draining);
  for (const { exchangeId } of refusedByDrain) {
    simulation.reportViolation(
      PromiseName.GracefulStop,
      `exchange ${exchangeId} was in progress and was refused by the drain`,
    );
  }
}

/** Returns a step watcher that checks that the configuration revision of a process never decreases. */
export function createRevisionWatcher(simulation: Simulation): (host: Host) => void {
  const latestRevisions = new Map<string, number>();
  return (host) => {
    const revision = host.core?.board.configuration?.revision ?? 0;
    const processKey = `${host.index}/${host.generation}`;
    const previous = latestRevisions.get(processKey) ?? 0;
    if (revision < previous) {
      simulation.reportViolation(
        PromiseName.Configuration,
        `router ${processKey} went back from ${previous} to ${revision}`,
      );
    }
    latestRevisions.set(processKey, Math.max(previous, revision));
  };
}

/** Checks that accepted changes are active on all routers, and that at most one of two racing changes was accepted. */
export function checkConfiguration(simulation: Simulation, scenario: Scenario): void {
  const accepted = scenario.changes.filter((change) => change.accepted);
  const highestRevision = Math.max(1, ...accepted.map((change) => change.revision));
  for (const host of simulation.hosts) {
    const revision = host.core?.board.configuration?.revision;
    if (host.core !== undefined && (revision === undefined || revision < highestRevision)) {
      simulation.reportViolation(
        PromiseName.Configuration,
        `router ${host.index} is at ${String(revision)}, not ${highestRevision}`,
      );
    }
  }
  const racing = accepted.filter((change) => change.section === SectionName.Classes);
  if (racing.length > 1) {
    simulation.reportViolation(PromiseName.Configuration, 'both racing changes of one section were accepted');
  }
  for (const change of accepted) {
    checkSectionActive(simulation, change.section, change.text);
  }
}

function checkSectionActive(simulation: Simulation, section: SectionName, text: string): void {
  for (const host of simulation.hosts) {
    const stored = host.core?.board.configuration?.stored.sections.find(({ name }) => name === section);
    if (stored !== undefined && stored.text !== text) {
      simulation.reportViolation(
        PromiseName.Configuration,
        `router ${host.index} reverted an accepted change of ${section}`,
      );
    }
  }
}
