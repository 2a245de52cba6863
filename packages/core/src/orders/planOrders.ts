import type { EngineSection } from '../types/configuration.ts';
import type { EngineModels } from '../types/orders.ts';
import { ModelState } from '../types/orders.ts';

/** A configured engine and the models that it reports; `models` is undefined if they could not be read. */
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
  /** Models of the service; other models are left unchanged. */
  readonly serviceModels: readonly string[];
  /** Loads that the rate limit of the weight store allows now. */
  readonly availableLoads: number;
}

/**
 * Plans the orders that bring the reported models in line with the configuration. Unloads come first, because they do
 * not use the weight store and they free memory. Loads within the rate limit go to the model with the fewest engines
 * first.
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
