export enum ScenarioName {
  WholeNetwork = 'wholeNetwork',
  RegionCut = 'regionCut',
  LastToken = 'lastToken',
  StoreOutage = 'storeOutage',
  RouterDeath = 'routerDeath',
}

export enum StrategyName {
  Pimentostall = 'pimentostall',
  StaticSplit = 'staticSplit',
  StorePerRequest = 'storePerRequest',
  AllKnowing = 'allKnowing',
}

export interface Figures {
  /** Largest sampled sum of settled amounts and of the price of actual usage, each beyond the funding. */
  readonly overspendMicros: number;
  readonly falseRefusalRate: number;
  /** Fraction of requests whose final outcome is a refusal, correct or false. */
  readonly refusalRate: number;
  /** Fraction of requests that ended without an answer and without a did-not-run refusal. */
  readonly failureRate: number;
  readonly storeWritesPerRequest: number;
  readonly storeReadsPerRequest: number;
  /** Largest sampled amount that is neither settled nor available to a reachable router. */
  readonly strandedMicros: number;
  readonly strandedAtEndMicros: number;
  readonly linkBytesPerRequest: number;
}

/** One request of the workload, identical for every strategy. */
export interface PlannedRequest {
  readonly key: string;
  readonly organisationId: string;
  readonly region: string;
  readonly atMs: number;
  readonly prompt: string;
  readonly worstCaseMicros: number;
  readonly actualMicros: number;
  readonly durationMs: number;
}

export interface Organisation {
  readonly organisationId: string;
  readonly keySha256: string;
  readonly entryWeight: number;
  readonly fundedMicros: number;
  /** Amount added at the scenario's top-up time; 0 for no top-up. */
  readonly topUpMicros: number;
}

export interface TimeSpan {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** Timing of the requests and of the faults and top-ups in a scenario. */
export interface Scenario {
  readonly name: ScenarioName;
  readonly firstRequestMs: number;
  readonly lastRequestMs: number;
  readonly endMs: number;
  readonly cut: TimeSpan | undefined;
  readonly storeOutage: TimeSpan | undefined;
  readonly topUpAtMs: number | undefined;
  readonly routerCrashAtMs: number | undefined;
}

export interface Workload {
  readonly seed: number;
  readonly scenario: Scenario;
  readonly organisations: readonly Organisation[];
  readonly requests: readonly PlannedRequest[];
}
