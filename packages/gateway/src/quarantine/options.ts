export interface QuarantineOptions {
  /** Number of ended engines, each with a request that held the part, after which the part is quarantined. */
  readonly crashThreshold: number;
  /** Number of ended engines after which a request that holds the part is not sent to another one. */
  readonly retryThreshold: number;
  /** The start of an answer clears the part of crashes up to this much later; routers notice both at different times. */
  readonly clearanceMs: number;
  /** Time for which an answer must go on until its start counts; an engine may end right after the first event. */
  readonly startConfirmMs: number;
  /** Time after which a crash no longer counts against a part that is not quarantined. */
  readonly crashRetentionMs: number;
  /** Time until a quarantined part is tried again; grows by `quarantineGrowth` with each probe, up to the maximum. */
  readonly quarantineMs: number;
  readonly quarantineGrowth: number;
  readonly quarantineMaxMs: number;
  /** Time until the next probe if one ended without telling anything about the part. */
  readonly inconclusiveProbeMs: number;
  /** Delay of news about suspects, so that those of one crash travel together. */
  readonly newsDelayMs: number;
  /** Number of routers that each router passes news on to. */
  readonly newsFanout: number;
  /** Period of exchanging all records with one other router, while any has changed within `recentChangeMs`. */
  readonly exchangePeriodMs: number;
  readonly recentChangeMs: number;
  /** The same while there are records and none has changed recently. */
  readonly calmExchangePeriodMs: number;
}

export const DEFAULT_QUARANTINE: QuarantineOptions = {
  crashThreshold: 3,
  retryThreshold: 2,
  clearanceMs: 1_500,
  startConfirmMs: 200,
  crashRetentionMs: 600_000,
  quarantineMs: 20_000,
  quarantineGrowth: 8,
  quarantineMaxMs: 86_400_000,
  inconclusiveProbeMs: 1_000,
  newsDelayMs: 20,
  newsFanout: 4,
  exchangePeriodMs: 500,
  recentChangeMs: 10_000,
  calmExchangePeriodMs: 5_000,
};
