export enum ChooserKind {
  /** `chooseEngine` of the core. */
  Core = 'core',
  LeastLoaded = 'leastLoaded',
  RoundRobin = 'roundRobin',
  Random = 'random',
}

/** What happens to the first engine during a run. */
export enum EngineUpset {
  None = 'none',
  /** Its time between tokens is a multiple of the others'. */
  Slow = 'slow',
  /** It loses its streams and refuses connections. */
  Dead = 'dead',
  /** It refuses new work and finishes what it has. */
  Leaving = 'leaving',
}

export interface Scenario {
  readonly name: string;
  readonly routerCount: number;
  readonly engineCount: number;
  readonly requestCount: number;
  readonly sharedPrefixes: boolean;
  /** Engines generate between half of this and all of it. */
  readonly maxOutputTokens: number;
  readonly cacheEventLagMs: number;
  /** One of this many cached blocks is never reported. */
  readonly cacheEventGap: number;
  readonly upset: EngineUpset;
}

export interface RunPlan {
  readonly scenario: Scenario;
  readonly chooser: ChooserKind;
  readonly seed: number;
}

/** Figures of one run, without its warm-up. */
export interface RunFigures {
  readonly ttftP50Ms: number;
  readonly ttftP95Ms: number;
  readonly ttftP99Ms: number;
  readonly tokenIntervalP95Ms: number;
  /** Cached part of the prompt tokens. */
  readonly hitRate: number;
  /** Mean over samples: largest over mean number of requests that an engine runs or queues. */
  readonly imbalance: number;
  readonly refusedCount: number;
  readonly lostCount: number;
}

export interface RunResult {
  readonly plan: RunPlan;
  readonly figures: RunFigures;
}
