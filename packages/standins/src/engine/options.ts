export interface SimulatedEngineOptions {
  readonly maxRunning: number;
  readonly maxQueued: number;
  readonly prefillMsPerBlock: number;
  /** Time between two tokens of a sequence that runs alone. */
  readonly tokenIntervalMs: number;
  /** Added to the token interval for each further running sequence. */
  readonly tokenIntervalPerSequenceMs: number;
  readonly cacheBlocks: number;
  /** A queued or running sequence without a reader is cancelled after this time. */
  readonly unreadLimitMs: number;
  /** A sequence is removed this long after its end or, if later, after its last reader disconnected. */
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
