export enum ChooserKind {
  /** Uses `chooseEngine` of the core. */
  Core = 'core',
  LeastLoaded = 'leastLoaded',
  RoundRobin = 'roundRobin',
  Random = 'random',
}

/** Fault or state change of the first engine during a run. */
export enum EngineFault {
  None = 'none',
  /** Its time between tokens is multiplied by `SLOW_ENGINE_FACTOR`. */
  Slow = 'slow',
  /** It loses its streams and refuses connections. */
  Dead = 'dead',
  /** It refuses new requests and finishes those it has. */
  Leaving = 'leaving',
}

export interface Scenario {
  readonly name: string;
  readonly routerCount: number;
  readonly engineCount: number;
  readonly requestCount: number;
  readonly sharedPrefixes: boolean;
  /** Answers have between half of this number of tokens and all of it. */
  readonly maxOutputTokens: number;
  readonly cacheEventLagMs: number;
  /** One in this many cached blocks is never reported. */
  readonly cacheEventGap: number;
  readonly fault: EngineFault;
}

export interface RunPlan {
  readonly scenario: Scenario;
  readonly chooser: ChooserKind;
  readonly seed: number;
}

/** Measurements of one run, excluding its warm-up. */
export interface RunFigures {
  readonly ttftP50Ms: number;
  readonly ttftP95Ms: number;
  readonly ttftP99Ms: number;
  readonly tokenIntervalP95Ms: number;
  /** Fraction of prompt tokens that were cached. */
  readonly hitRate: number;
  /** Mean over samples of the largest number of open streams on an engine divided by the mean number. */
  readonly imbalance: number;
  readonly refusedCount: number;
  readonly lostCount: number;
}

export interface RunResult {
  readonly plan: RunPlan;
  readonly figures: RunFigures;
}
