import { CallState } from './caller.ts';
import { checkAnswers, checkAtMostOnce, checkVerdicts } from './checks/checkAnswers.ts';
import { checkBills, checkLedger, checkRealSpend } from './checks/checkMoney.ts';
import {
  checkConfiguration,
  checkDrain,
  checkLeavingEngine,
  watchRevisions,
} from './checks/checkOperations.ts';
import { FaultPlan } from './faultPlan.ts';
import { RUN_END_MS } from './options.ts';
import { planScenario } from './scenario.ts';
import type { Fault, RunReport } from './types.ts';
import { PromiseName } from './types.ts';
import type { Tamper } from './tamper.ts';
import { World } from './simulation.ts';

/** Runs one seed with its faults from start to quiet and checks every promise. */
export function runOne(seed: number, faults: readonly Fault[], tamper: Tamper = {}): RunReport {
  const plan = new FaultPlan(faults);
  const world = new World({ seed, plan, tamper });
  world.commitWatchers.push(() => {
    checkLedger(world);
  });
  world.stepWatchers.push(watchRevisions(world));
  const scenario = planScenario(world);
  world.run(RUN_END_MS);
  checkRealSpend(world);
  checkBills(world, scenario.calls);
  checkAnswers(world, scenario.calls);
  checkVerdicts(world, scenario.calls);
  checkAtMostOnce(world);
  checkLeavingEngine(world);
  checkDrain(world, scenario);
  checkConfiguration(world, scenario);
  for (const defect of world.defects) {
    world.fail(PromiseName.WholeOwnAnswer, `a task of the core failed: ${defect}`);
  }
  return {
    seed,
    faults,
    violations: world.violations,
    struck: plan.struck,
    stepCount: plan.stepCount,
    answeredCount: scenario.calls.filter(({ state }) => state === CallState.Answered).length,
    refusedCount: scenario.calls.filter(({ state }) => state === CallState.Refused).length,
  };
}
