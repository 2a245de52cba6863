import type { Evidence } from '../auditor/types.ts';
import {
  cutLink,
  healLink,
  killEngine,
  killRouter,
  leaveEngine,
  leavingEngine,
  listAllRouters,
  loseReplies,
  pauseRouter,
  resumeRouter,
  stopRouter,
  storeDown,
  storeUp,
  topUpAt,
  unlistRouter,
  victim,
} from './steps.ts';
import type { ScenarioPlan, ScenarioSetup } from './types.ts';
import { FaultScenario } from './types.ts';

const ENGINE_LEAVES = 'engine leaves the list';
/** Promise 6 allows a few seconds; the list's lag of 1 s is part of them. */
const LEAVE_LIMIT_MS = 3_000;

/**
 * Times follow from the short options of the demo: list lag 1 s, reclaim grace 3 s, fence wait 2.5 s. A router that
 * is silent from 2 s and unlisted from 2.5 s is reclaimed at about 9 s.
 */
export const SCENARIOS: readonly ScenarioPlan[] = [
  {
    scenario: FaultScenario.RouterPaused,
    trafficMs: 16_000,
    steps: [pauseRouter(2_000), unlistRouter(2_500), resumeRouter(11_500), listAllRouters(12_000)],
  },
  {
    scenario: FaultScenario.StoreOutageRouterKilled,
    trafficMs: 14_000,
    steps: [storeDown(2_000), killRouter(3_000), unlistRouter(3_500), storeUp(8_000)],
  },
  {
    scenario: FaultScenario.RouterKilled,
    trafficMs: 11_000,
    steps: [killRouter(2_500), unlistRouter(3_500)],
  },
  {
    scenario: FaultScenario.LinkCut,
    trafficMs: 11_000,
    steps: [cutLink(2_500), topUpAt(4_500), healLink(6_500)],
  },
  {
    scenario: FaultScenario.StoreOutage,
    trafficMs: 12_000,
    steps: [storeDown(2_500), topUpAt(4_500), storeUp(7_500)],
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
    steps: [leaveEngine(2_000, ENGINE_LEAVES), killEngine(6_000)],
    check: checkLeavingEngine,
  },
  {
    scenario: FaultScenario.RepliesLost,
    trafficMs: 10_000,
    steps: [loseReplies(1_500, 5), loseReplies(3_000, 20), loseReplies(5_500, 40)],
  },
];

/** A graceful stop ends with exit code 0 and cuts off nothing. */
function checkGracefulStop(setup: ScenarioSetup, { calls }: Evidence): string[] {
  const { routerId } = victim(setup);
  const exit = setup.processes.exitStatusOf(routerId);
  const exitViolations =
    exit === 0 ? [] : [`${routerId}: expected exit code 0, found ${exit ?? 'a running process'}`];
  const cutOff = calls.filter(({ brokenCount }) => brokenCount > 0);
  return [
    ...exitViolations,
    ...cutOff.map(({ key, detail }) => `cut off during a graceful stop: ${key} (${detail})`),
  ];
}

function checkLeavingEngine(setup: ScenarioSetup, { engines }: Evidence): string[] {
  const leaving = leavingEngine(setup);
  const records = engines[setup.plan.engines.indexOf(leaving)] ?? {};
  const leftAtMs = setup.stepTimesMs.get(ENGINE_LEAVES) ?? Infinity;
  const limitMs = leftAtMs + LEAVE_LIMIT_MS;
  const lastStartMs = Math.max(...Object.values(records).flatMap(({ startedAtMs }) => startedAtMs));
  setup.progress(`last start on the leaving engine ${lastStartMs - leftAtMs} ms after it left the list`);
  return Object.entries(records).flatMap(([key, { startedAtMs }]) => {
    const late = startedAtMs.filter((atMs) => atMs > limitMs);
    return late.map((atMs) => `${key}: started ${atMs - limitMs} ms too late on the leaving engine`);
  });
}
