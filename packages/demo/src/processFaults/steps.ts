import { VmState } from '@pimentostall/core';
import type { RouterPlan, UpstreamPlan } from '../deployment/fleetPlan.ts';
import { memberRows } from '../deployment/fleetPlan.ts';
import { control, readEngineAudit } from '../fleet/standInClient.ts';
import { topUp } from './operator.ts';
import type { ScenarioSetup, ScenarioStep } from './types.ts';

/** The router that the scenarios kill, pause or stop: one of the store's region. */
export function victim({ plan }: ScenarioSetup): RouterPlan {
  return first(plan.routers);
}

/** The engine that leaves by the membership list alone. */
export function leavingEngine({ plan }: ScenarioSetup): UpstreamPlan {
  return first(plan.engines);
}

function killedEngine({ plan }: ScenarioSetup): UpstreamPlan {
  return first(plan.engines.slice(1));
}

function first<T>(values: readonly T[]): T {
  const [value] = values;
  if (value === undefined) {
    throw new Error('the fleet has no such process');
  }
  return value;
}

function platformStep(atMs: number, name: string, body: unknown): ScenarioStep {
  return { atMs, name, run: ({ plan }) => control(plan.platformAddress, body) };
}

function linkStep(atMs: number, name: string, cut: boolean): ScenarioStep {
  return { atMs, name, run: ({ plan }) => control(plan.linkControlAddress, { cut }) };
}

function signalStep(atMs: number, name: string, signal: NodeJS.Signals, ends: boolean): ScenarioStep {
  const run = (setup: ScenarioSetup) => {
    const { routerId } = victim(setup);
    if (ends) {
      setup.expectedEnds.add(routerId);
    }
    setup.processes.signal(routerId, signal);
    return Promise.resolve();
  };
  return { atMs, name, run };
}

export const killRouter = (atMs: number) => signalStep(atMs, 'router killed', 'SIGKILL', true);
export const pauseRouter = (atMs: number) => signalStep(atMs, 'router paused', 'SIGSTOP', false);
export const resumeRouter = (atMs: number) => signalStep(atMs, 'router resumed', 'SIGCONT', false);
export const stopRouter = (atMs: number) => signalStep(atMs, 'router asked to stop', 'SIGTERM', true);
export const cutLink = (atMs: number) => linkStep(atMs, 'region link cut', true);
export const healLink = (atMs: number) => linkStep(atMs, 'region link healed', false);
export const storeDown = (atMs: number) => platformStep(atMs, 'store down', { down: true });
export const storeUp = (atMs: number) => platformStep(atMs, 'store up', { down: false });
export const loseReplies = (atMs: number, count: number) =>
  platformStep(atMs, `next ${count} answers to commits lost`, { loseReplies: count });

export function topUpAt(atMs: number): ScenarioStep {
  return { atMs, name: 'top-up', run: topUp };
}

/** The killed or paused router's VM leaves the membership list. */
export function unlistRouter(atMs: number): ScenarioStep {
  const run = (setup: ScenarioSetup) =>
    control(setup.plan.platformAddress, { members: memberRows(setup.plan, victim(setup).vmId) });
  return { atMs, name: 'router leaves the list', run };
}

export function listAllRouters(atMs: number): ScenarioStep {
  const run = ({ plan }: ScenarioSetup) => control(plan.platformAddress, { members: memberRows(plan) });
  return { atMs, name: 'router is listed again', run };
}

/** The engine itself accepts further streams, so only the routers can keep new work away from it. */
export function leaveEngine(atMs: number, name: string): ScenarioStep {
  const run = (setup: ScenarioSetup) => {
    const leavingId = `vm-${leavingEngine(setup).upstreamId}`;
    const members = memberRows(setup.plan).map((row) =>
      row.vmId === leavingId ? { ...row, state: VmState.Leaving } : row,
    );
    return control(setup.plan.platformAddress, { members });
  };
  return { atMs, name, run };
}

/** Ends an engine process. Its records are in its memory, so they are read as late as possible. */
export function killEngine(atMs: number): ScenarioStep {
  const run = async (setup: ScenarioSetup) => {
    const { upstreamId, address } = killedEngine(setup);
    setup.expectedEnds.add(upstreamId);
    setup.engineSnapshots.set(address, await readEngineAudit(address));
    setup.processes.kill(upstreamId);
  };
  return { atMs, name: 'engine killed', run };
}
