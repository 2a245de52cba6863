import type { RoutingBenchOptions } from './options.ts';
import { SCENARIOS } from './scenarios.ts';
import type { RunPlan } from './types.ts';
import { ChooserKind } from './types.ts';

export function planRuns({ seeds, scale, only }: RoutingBenchOptions): RunPlan[] {
  const scenarios = SCENARIOS.filter(({ name }) => name.includes(only)).map((scenario) => ({
    ...scenario,
    requestCount: Math.ceil(scenario.requestCount * scale),
  }));
  // The longest runs come first, so that none of them is left running alone at the end.
  const byLength = scenarios.sort((a, b) => b.requestCount - a.requestCount);
  return byLength.flatMap((scenario) =>
    Array.from({ length: seeds }, (_, index) => index + 1).flatMap((seed) =>
      Object.values(ChooserKind).map((chooser) => ({ scenario, chooser, seed })),
    ),
  );
}
