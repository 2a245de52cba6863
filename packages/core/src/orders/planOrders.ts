import type { EngineSection } from '../types/configuration.ts';
import type { EngineModels } from '../types/orders.ts';
import { ModelState } from '../types/orders.ts';

/** An engine of the configuration and what it reports; undefined if it could not be read. */
export interface EngineView {
  readonly engine: EngineSection;
  readonly models: EngineModels | undefined;
}

export interface PlannedOrder {
  readonly engine: EngineSection;
  readonly model: string;
  readonly state: ModelState.Loaded | ModelState.Unloaded;
}

export interface PlanInput {
  readonly views: readonly EngineView[];
  /** Models of the service; others are not touched. */
  readonly serviceModels: readonly string[];
  /** Loads that the weight store's rate allows now. */
  readonly availableLoads: number;
}

/**
 * Compares what the configuration wants with what the engines report. Unloads cost the weight store nothing and
 * free memory, so they come first; loads go to the model with the fewest engines first, within the rate.
 */
export function planOrders(input: PlanInput): PlannedOrder[] {
  const unloads = input.views.flatMap((view) => unwantedModels(view, input.serviceModels));
  const loads = input.views.flatMap((view) => missingModels(view, input.serviceModels));
  const counts = new Map<string, number>();
  for (const model of input.serviceModels) {
    counts.set(model, input.views.filter(({ models }) => isPresent(models, model)).length);
  }
  const chosen: PlannedOrder[] = [];
  while (chosen.length < Math.floor(input.availableLoads) && loads.length > 0) {
    loads.sort((a, b) => (counts.get(a.model) ?? 0) - (counts.get(b.model) ?? 0));
    const next = loads.shift();
    if (next !== undefined) {
      chosen.push(next);
      counts.set(next.model, (counts.get(next.model) ?? 0) + 1);
    }
  }
  return [...unloads, ...chosen];
}

function isPresent(models: EngineModels | undefined, model: string): boolean {
  const state = models?.[model];
  return state === ModelState.Loaded || state === ModelState.Loading;
}

function missingModels({ engine, models }: EngineView, serviceModels: readonly string[]): PlannedOrder[] {
  if (models === undefined) {
    return [];
  }
  return serviceModels
    .filter((model) => engine.models.includes(model) && !isPresent(models, model))
    .map((model) => ({ engine, model, state: ModelState.Loaded as const }));
}

function unwantedModels({ engine, models }: EngineView, serviceModels: readonly string[]): PlannedOrder[] {
  return serviceModels
    .filter((model) => !engine.models.includes(model) && isPresent(models, model))
    .map((model) => ({ engine, model, state: ModelState.Unloaded as const }));
}
