import { EventKind, SectionName } from '@pimentostall/core';
import { CallKind, startCall } from './caller.ts';
import type { Call } from './caller.ts';
import {
  LARGE_ORGANISATION,
  LEAVING_ENGINE_ADDRESS,
  SMALL_ORGANISATION,
  budgetsText,
  classesText,
} from './fleet.ts';
import { startConfigurationChange } from './operator.ts';
import type { ConfigurationChange } from './operator.ts';
import { TRAFFIC_END_MS } from './options.ts';
import type { Simulation } from './simulation.ts';

const FIRST_CALL_AT_MS = 2_000;
const TOP_UP_AT_MS = 5_000;
const RACING_CHANGES_AT_MS = 6_000;
const ENGINE_LEAVE_AT_MS = 8_000;
const ROUTER_STOP_AT_MS = 12_000;
const CHAT_COUNT = 14;
const ORDER_COUNT = 5;
/**
 * Chats of the small organisation from the reclaim of a frozen router's share to the end of its freeze. They use up the
 * budget, so that money is spent twice if the resumed router can still spend its reclaimed share.
 */
const LATE_CHAT_COUNT = 14;
const LATE_CHATS_FROM_MS = 18_000;
const LATE_CHATS_TO_MS = 30_000;
/** Every nth call is sent to two routers at the same time with the same idempotency key. */
const DUPLICATE_EVERY_NTH = 3;

/** Calls and configuration changes of a run as their senders saw them, and the router that was asked to stop. */
export interface Scenario {
  readonly calls: Call[];
  readonly changes: ConfigurationChange[];
  stoppedHostIndex: number | undefined;
  stoppedAtMs: number;
}

/** Schedules the traffic and operations of a run. The seed determines all choices, so runs are reproducible. */
export function planScenario(simulation: Simulation): Scenario {
  const scenario: Scenario = { calls: [], changes: [], stoppedHostIndex: undefined, stoppedAtMs: Infinity };
  for (let index = 0; index < CHAT_COUNT; index += 1) {
    const organisationId = simulation.random() < 0.5 ? SMALL_ORGANISATION : LARGE_ORGANISATION;
    planCall(simulation, scenario, { key: `chat-${index}`, kind: CallKind.Chat, organisationId, index });
  }
  for (let index = 0; index < ORDER_COUNT; index += 1) {
    planCall(simulation, scenario, {
      key: `order-${index}`,
      kind: CallKind.Order,
      organisationId: LARGE_ORGANISATION,
      index,
    });
  }
  for (let index = 0; index < LATE_CHAT_COUNT; index += 1) {
    const organisationId = SMALL_ORGANISATION;
    planCall(simulation, scenario, { key: `late-${index}`, kind: CallKind.Chat, organisationId, index });
  }
  planConfigurationChanges(simulation, scenario);
  planOperations(simulation, scenario);
  return scenario;
}

interface CallPlan {
  readonly key: string;
  readonly kind: CallKind;
  readonly organisationId: string;
  readonly index: number;
}

function planCall(simulation: Simulation, scenario: Scenario, plan: CallPlan): void {
  const late = plan.key.startsWith('late-');
  const [fromMs, toMs] = late ? [LATE_CHATS_FROM_MS, LATE_CHATS_TO_MS] : [FIRST_CALL_AT_MS, TRAFFIC_END_MS];
  const atMs = fromMs + Math.floor(simulation.random() * (toMs - fromMs));
  const firstHost = Math.floor(simulation.random() * simulation.hosts.length);
  const start = (hostIndex: number): void => {
    scenario.calls.push(startCall(simulation, { ...plan, firstHost: hostIndex }));
  };
  simulation.schedule(atMs, () => {
    start(firstHost);
    if (plan.index % DUPLICATE_EVERY_NTH === 0) {
      start(firstHost + 1);
    }
  });
}

function planConfigurationChanges(simulation: Simulation, scenario: Scenario): void {
  simulation.schedule(TOP_UP_AT_MS, () => {
    const setup = {
      section: SectionName.Budgets,
      text: budgetsText(true),
      baseVersion: 1,
      changeId: 'top-up',
    };
    scenario.changes.push(startConfigurationChange(simulation, { ...setup, firstHost: 0 }));
  });
  simulation.schedule(RACING_CHANGES_AT_MS, () => {
    const setup = { section: SectionName.Classes, baseVersion: 1 };
    const first = { ...setup, text: classesText(60), changeId: 'race-1', firstHost: 0 };
    const second = { ...setup, text: classesText(70), changeId: 'race-2', firstHost: 1 };
    scenario.changes.push(
      startConfigurationChange(simulation, first),
      startConfigurationChange(simulation, second),
    );
  });
}

function planOperations(simulation: Simulation, scenario: Scenario): void {
  simulation.schedule(ENGINE_LEAVE_AT_MS, () => {
    const engine = simulation.engines.get(LEAVING_ENGINE_ADDRESS);
    if (engine !== undefined) {
      engine.leavingSinceMs = simulation.nowMs;
    }
  });
  const stopped = Math.floor(simulation.random() * simulation.hosts.length);
  simulation.schedule(ROUTER_STOP_AT_MS, () => {
    const host = simulation.hosts[stopped];
    if (host?.core !== undefined) {
      scenario.stoppedHostIndex = stopped;
      scenario.stoppedAtMs = simulation.nowMs;
      simulation.deliver(host, { kind: EventKind.StopRequested }, 0);
    }
  });
}
