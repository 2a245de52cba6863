import type { CoreOptions } from '@pimentostall/core';
import { AllKnowing } from './models/allKnowing.ts';
import { runModel } from './models/runModel.ts';
import { StaticSplit } from './models/staticSplit.ts';
import { StorePerRequest } from './models/storePerRequest.ts';
import { runCores } from './runCores.ts';
import type { Figures, ScenarioName, Workload } from './types.ts';
import { StrategyName } from './types.ts';
import { createWorkload } from './workload.ts';

/** Runs one strategy on one scenario with one seed. */
export interface BenchTask {
  readonly scenario: ScenarioName;
  readonly strategy: StrategyName;
  readonly seed: number;
  readonly requests: number;
  readonly core: Partial<CoreOptions>;
}

export interface TaskResult {
  readonly task: BenchTask;
  readonly figures: Figures;
}

export function runTask(task: BenchTask): TaskResult {
  const workload = createWorkload(task.scenario, task.seed, task.requests);
  return { task, figures: runStrategy(task, workload) };
}

function runStrategy(task: BenchTask, workload: Workload): Figures {
  switch (task.strategy) {
    case StrategyName.Pimentostall:
      return runCores(workload, task.core);
    case StrategyName.StaticSplit:
      return runModel(workload, (organisations, network) => new StaticSplit(organisations, network));
    case StrategyName.StorePerRequest:
      return runModel(workload, (organisations, network) => new StorePerRequest(organisations, network));
    case StrategyName.AllKnowing:
      return runModel(workload, (organisations) => new AllKnowing(organisations));
  }
}
