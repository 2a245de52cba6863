import type { Evidence } from '../auditor/types.ts';
import {
  cutLink,
  killEngine,
  killRouter,
  leavingEngine,
  loseReplies,
  markEngineLeaving,
  pauseRouter,
  removeRouterFromMembers,
  restoreLink,
  restoreMembers,
  resumeRouter,
  stopRouter,
  storeDown,
  storeUp,
  targetRouter,
  topUpStep,
} from './steps.ts';
import type { ScenarioContext, ScenarioPlan } from './types.ts';
import { FaultScenario } from './types.ts';

const ENGINE_LEAVING_STEP = 'engine marked as leaving';
/** Promise 6 allows starts for a few seconds; they include the membership lag of 1 s. */
const MAX_START_AFTER_LEAVING_MS = 3_000;

/**
 * The times follow from the options of the demo: 1 s membership lag, 3 s reclaim grace and 2.5 s fence wait. The
 * shares of a router that is silent from 2 s on and removed from the members at 2.5 s are reclaimed at about 9 s.
 */
export const SCENARIOS: readonly ScenarioPlan[] = [
  {
    scenario: FaultScenario.RouterPaused,
    trafficMs: 16_000,
    steps: [pauseRouter(2_000), removeRouterFromMembers(2_500), resumeRouter(11_500), restoreMembers(12_000)],
  },
  {
    scenario: FaultScenario.StoreOutageRouterKilled,
    trafficMs: 14_000,
    steps: [storeDown(2_000), killRouter(3_000), removeRouterFromMembers(3_500), storeUp(8_000)],
  },
  {
    scenario: FaultScenario.RouterKilled,
    trafficMs: 11_000,
    steps: [killRouter(2_500), removeRouterFromMembers(3_500)],
  },
  {
    scenario: FaultScenario.LinkCut,
    trafficMs: 11_000,
    steps: [cutLink(2_500), topUpStep(4_500), restoreLink(6_500)],
  },
  {
    scenario: FaultScenario.StoreOutage,
    trafficMs: 12_000,
    steps: [storeDown(2_500), topUpStep(4_500), storeUp(7_500)],
  },
  {
    scenario: FaultScenario.RouterStopped,
    trafficMs: 9_000,
    steps: [stopRouter(3_000)],
    check: checkGracefulStop,
  },
  {
    scenario: FaultScenario.EngineLeaving,
    trafficMs: 10_000,
    steps: [markEngineLeaving(2_000, ENGINE_LEAVING_STEP), killEngine(6_000)],
    check: checkLeavingEngine,
  },
  {
    scenario: FaultScenario.RepliesLost,
    trafficMs: 10_000,
    steps: [loseReplies(1_500, 5), loseReplies(3_000, 20), loseReplies(5_500, 40)],
  },
];

/** A graceful stop must end with exit code 0 and must not cut off any request. */
function checkGracefulStop(context: ScenarioContext, { calls }: Evidence): string[] {
  const { routerId } = targetRouter(context);
  const exitStatus = context.processes.exitStatusOf(routerId);
  const exitViolations =
    exitStatus === 0 ? [] : [`${routerId}: expected exit code 0, found ${exitStatus ?? 'a running process'}`];
  const cutOffCalls = calls.filter(({ brokenCount }) => brokenCount > 0);
  return [
    ...exitViolations,
    ...cutOffCalls.map(({ key, detail }) => `request cut off during a graceful stop: ${key} (${detail})`),
  ];
}

/** An engine that is marked as leaving must not start new requests after a few seconds. */
function checkLeavingEngine(context: ScenarioContext, { engines }: Evidence): string[] {
  const leaving = leavingEngine(context);
  const records = engines[context.plan.engines.indexOf(leaving)] ?? {};
  const leavingAtMs = context.stepStartedAtMs.get(ENGINE_LEAVING_STEP) ?? Infinity;
  const startDeadlineMs = leavingAtMs + MAX_START_AFTER_LEAVING_MS;
  const lastStartMs = Math.max(...Object.values(records).flatMap(({ startedAtMs }) => startedAtMs));
  context.progress(
    `last start on the leaving engine ${lastStartMs - leavingAtMs} ms after it was marked as leaving`,
  );
  return Object.entries(records).flatMap(([key, { startedAtMs }]) => {
    const lateStarts = startedAtMs.filter((atMs) => atMs > startDeadlineMs);
    return lateStarts.map(
      (atMs) => `${key}: started ${atMs - startDeadlineMs} ms too late on the leaving engine`,
    );
  });
}
