import { VmState } from '@pimentostall/core';
import type { RouterPlan, UpstreamPlan } from '../deployment/fleetPlan.ts';
import { memberRows } from '../deployment/fleetPlan.ts';
import { control, readEngineAudit } from '../fleet/standInClient.ts';
import { topUp } from './operator.ts';
import type { ScenarioContext, ScenarioStep } from './types.ts';

/** The router that the scenarios kill, pause or stop; it is in the store's region. */
export function targetRouter({ plan }: ScenarioContext): RouterPlan {
  return firstOf(plan.routers);
}

/** The engine that is marked as leaving in the membership list only. */
export function leavingEngine({ plan }: ScenarioContext): UpstreamPlan {
  return firstOf(plan.engines);
}

function engineToKill({ plan }: ScenarioContext): UpstreamPlan {
  return firstOf(plan.engines.slice(1));
}

function firstOf<T>(values: readonly T[]): T {
  const [value] = values;
  if (value === undefined) {
    throw new Error('the deployment has no process of this role');
  }
  return value;
}

function platformStep(atMs: number, name: string, body: unknown): ScenarioStep {
  return { atMs, name, run: ({ plan }) => control(plan.platformAddress, body) };
}

function linkStep(atMs: number, name: string, cut: boolean): ScenarioStep {
  return { atMs, name, run: ({ plan }) => control(plan.linkControlAddress, { cut }) };
}

function signalStep(atMs: number, name: string, signal: NodeJS.Signals, exits: boolean): ScenarioStep {
  const run = (context: ScenarioContext) => {
    const { routerId } = targetRouter(context);
    if (exits) {
      context.expectedExits.add(routerId);
    }
    context.processes.signal(routerId, signal);
    return Promise.resolve();
  };
  return { atMs, name, run };
}

export const killRouter = (atMs: number) => signalStep(atMs, 'router killed', 'SIGKILL', true);
export const pauseRouter = (atMs: number) => signalStep(atMs, 'router paused', 'SIGSTOP', false);
export const resumeRouter = (atMs: number) => signalStep(atMs, 'router resumed', 'SIGCONT', false);
export const stopRouter = (atMs: number) => signalStep(atMs, 'router asked to stop', 'SIGTERM', true);
export const cutLink = (atMs: number) => linkStep(atMs, 'region link cut', true);
export const restoreLink = (atMs: number) => linkStep(atMs, 'region link restored', false);
export const storeDown = (atMs: number) => platformStep(atMs, 'store down', { down: true });
export const storeUp = (atMs: number) => platformStep(atMs, 'store up', { down: false });
export const loseReplies = (atMs: number, count: number) =>
  platformStep(atMs, `next ${count} commit replies lost`, { loseReplies: count });

export function topUpStep(atMs: number): ScenarioStep {
  return { atMs, name: 'top-up', run: topUp };
}

/** Removes the VM of the target router from the membership list. */
export function removeRouterFromMembers(atMs: number): ScenarioStep {
  const run = (context: ScenarioContext) =>
    control(context.plan.platformAddress, { members: memberRows(context.plan, targetRouter(context).vmId) });
  return { atMs, name: 'router removed from the membership list', run };
}

export function restoreMembers(atMs: number): ScenarioStep {
  const run = ({ plan }: ScenarioContext) => control(plan.platformAddress, { members: memberRows(plan) });
  return { atMs, name: 'router restored to the membership list', run };
}

/** Marks an engine as leaving. The engine still accepts streams, so only the routers can stop sending it requests. */
export function markEngineLeaving(atMs: number, name: string): ScenarioStep {
  const run = (context: ScenarioContext) => {
    const leavingId = `vm-${leavingEngine(context).upstreamId}`;
    const members = memberRows(context.plan).map((row) =>
      row.vmId === leavingId ? { ...row, state: VmState.Leaving } : row,
    );
    return control(context.plan.platformAddress, { members });
  };
  return { atMs, name, run };
}

/** Kills an engine. Its audit records are only in memory, so they are read immediately before. */
export function killEngine(atMs: number): ScenarioStep {
  const run = async (context: ScenarioContext) => {
    const { upstreamId, address } = engineToKill(context);
    context.expectedExits.add(upstreamId);
    context.engineSnapshots.set(address, await readEngineAudit(address));
    context.processes.kill(upstreamId);
  };
  return { atMs, name: 'engine killed', run };
}
