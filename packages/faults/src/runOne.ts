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
import { Simulation } from './simulation.ts';

/** Runs one seed with its faults from start to quiet and checks every promise. */
export function runOne(seed: number, faults: readonly Fault[], tamper: Tamper = {}): RunReport {
  const plan = new FaultPlan(faults);
  const simulation = new Simulation({ seed, plan, tamper });
  simulation.commitWatchers.push(() => {
    checkLedger(simulation);
  });
  simulation.stepWatchers.push(watchRevisions(simulation));
  const scenario = planScenario(simulation);
  simulation.run(RUN_END_MS);
  checkRealSpend(simulation);
  checkBills(simulation, scenario.calls);
  checkAnswers(simulation, scenario.calls);
  checkVerdicts(simulation, scenario.calls);
  checkAtMostOnce(simulation);
  checkLeavingEngine(simulation);
  checkDrain(simulation, scenario);
  checkConfiguration(simulation, scenario);
  for (const defect of simulation.defects) {
    simulation.fail(PromiseName.WholeOwnAnswer, `a task of the core failed: ${defect}`);
  }
  return {
    seed,
    faults,
    violations: simulation.violations,
    struck: plan.struck,
    stepCount: plan.stepCount,
    answeredCount: scenario.calls.filter(({ state }) => state === CallState.Answered).length,
    refusedCount: scenario.calls.filter(({ state }) => state === CallState.Refused).length,
  };
}
