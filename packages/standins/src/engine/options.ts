/** Speed and limits of a model engine. */
export interface SimulatedEngineOptions {
  readonly maxRunning: number;
  readonly maxQueued: number;
  readonly prefillMsPerBlock: number;
  /** Time between the tokens of a sequence that runs alone. */
  readonly tokenIntervalMs: number;
  /** Added to the interval for each further running sequence. */
  readonly tokenIntervalPerSequenceMs: number;
  readonly cacheBlocks: number;
  /** A running stream without a reader is stopped after this time. */
  readonly unreadLimitMs: number;
  /** A stream is forgotten this long after its end or its last reader. */
  readonly keepMs: number;
}

export const DEFAULT_SIMULATED_ENGINE_OPTIONS: SimulatedEngineOptions = {
  maxRunning: 16,
  maxQueued: 64,
  prefillMsPerBlock: 4,
  tokenIntervalMs: 10,
  tokenIntervalPerSequenceMs: 0.5,
  cacheBlocks: 4_096,
  unreadLimitMs: 10_000,
  keepMs: 60_000,
};
