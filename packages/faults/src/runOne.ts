import { CallState } from './caller.ts';
import { checkAnswers, checkAtMostOnce, checkVerdicts } from './checks/checkAnswers.ts';
import { checkActualSpend, checkBills, checkLedger } from './checks/checkMoney.ts';
import {
  checkConfiguration,
  checkDrain,
  checkLeavingEngine,
  createRevisionWatcher,
} from './checks/checkOperations.ts';
import { FaultPlan } from './faultPlan.ts';
import { RUN_END_MS } from './options.ts';
import { planScenario } from './scenario.ts';
import type { Fault, RunReport } from './types.ts';
import { PromiseName } from './types.ts';
import type { SimulationHooks } from './simulationHooks.ts';
import { Simulation } from './simulation.ts';

/** Simulates one workload with its faults until all work has ended, then checks every promise. */
export function runOne(seed: number, faults: readonly Fault[], hooks: SimulationHooks = {}): RunReport {
  const plan = new FaultPlan(faults);
  const simulation = new Simulation({ seed, plan, hooks });
  simulation.commitWatchers.push(() => {
    checkLedger(simulation);
  });
  simulation.stepWatchers.push(createRevisionWatcher(simulation));
  const scenario = planScenario(simulation);
  simulation.run(RUN_END_MS);
  checkActualSpend(simulation);
  checkBills(simulation, scenario.calls);
  checkAnswers(simulation, scenario.calls);
  checkVerdicts(simulation, scenario.calls);
  checkAtMostOnce(simulation);
  checkLeavingEngine(simulation);
  checkDrain(simulation, scenario);
  checkConfiguration(simulation, scenario);
  for (const defect of simulation.defects) {
    simulation.reportViolation(PromiseName.WholeOwnAnswer, `a task of the core failed: ${defect}`);
  }
  return {
    seed,
    faults,
    violations: simulation.violations,
    struck: plan.appliedKinds,
    stepCount: plan.stepCount,
    answeredCount: scenario.calls.filter(({ state }) => state === CallState.Answered).length,
    refusedCount: scenario.calls.filter(({ state }) => state === CallState.Refused).length,
  };
}
