/** Names of scenarios and strategies, and the figures that a run yields. */
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
  /** Settled beyond funded, plus priced real usage beyond funded; the largest value seen. */
  readonly overspendMicros: number;
  readonly falseRefusalRate: number;
  /** All requests that were refused in the end, rightly or not. */
  readonly refusalRate: number;
  /** Requests that ended without an answer and without a did-not-run refusal. */
  readonly failureRate: number;
  readonly storeWritesPerRequest: number;
  readonly storeReadsPerRequest: number;
  /** Largest value of the money that is neither settled nor available to a router that can be asked. */
  readonly strandedMicros: number;
  readonly strandedAtEndMicros: number;
  readonly linkBytesPerRequest: number;
}

/** One request of the stream, the same for every strategy. */
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
  /** Added at the scenario's top-up time; 0 for none. */
  readonly topUpMicros: number;
}

export interface Span {
  readonly fromMs: number;
  readonly untilMs: number;
}

/** What happens in a scenario beside the requests. */
export interface Scenario {
  readonly name: ScenarioName;
  readonly firstRequestMs: number;
  readonly lastRequestMs: number;
  readonly endMs: number;
  readonly cut: Span | undefined;
  readonly storeOutage: Span | undefined;
  readonly topUpAtMs: number | undefined;
  readonly deathAtMs: number | undefined;
}

export interface Workload {
  readonly seed: number;
  readonly scenario: Scenario;
  readonly organisations: readonly Organisation[];
  readonly requests: readonly PlannedRequest[];
}
