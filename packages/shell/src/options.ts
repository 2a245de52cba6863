import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Limits of the adapters. The sizes limit the memory that one peer, caller or upstream can use. */
export interface ShellOptions {
  /** Longest time between two steps of the core. */
  readonly maxStepIntervalMs: number;
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headersTimeoutMs: number;
  /** Longest time for a caller to send its whole request. */
  readonly requestTimeoutMs: number;
  readonly keepAliveTimeoutMs: number;
  /** A caller whose full socket does not drain for this long is disconnected. */
  readonly stallTimeoutMs: number;
  /** A caller with more unsent bytes than this is disconnected. Reached only by callers that share a stream. */
  readonly maxUnsentBytes: number;
  readonly maxConnections: number;
  /** Time for responses and messages that are still being written to finish after the core's exit. */
  readonly closeGraceMs: number;
  /** Below `pauseLimitMs`, so that a slow connection is not mistaken for a pause of the process. */
  readonly connectTimeoutMs: number;
  /** Largest response body of an upstream or the platform, event streams aside. */
  readonly maxAnswerBytes: number;
  /** Largest event of an engine's stream. */
  readonly maxStreamEventBytes: number;
  readonly probeTimeoutMs: number;
  readonly platformTimeoutMs: number;
  readonly peerTimeoutMs: number;
  readonly maxPeerMessageBytes: number;
  /** Largest number of unacknowledged messages to one peer; further ones are dropped. */
  readonly maxPeerCallsInFlight: number;
  /**
   * At this number, idle connections are closed before another is opened. Twice the largest planned fleet.
   */
  readonly maxPeerConnections: number;
}

const KIB = 1024;
const MIB = 1024 * KIB;

export const DEFAULT_SHELL_OPTIONS: ShellOptions = {
  maxStepIntervalMs: 250,
  maxHeaderBytes: 16 * KIB,
  maxBodyBytes: MIB,
  headersTimeoutMs: 10_000,
  requestTimeoutMs: 30_000,
  keepAliveTimeoutMs: 30_000,
  stallTimeoutMs: 30_000,
  maxUnsentBytes: MIB,
  maxConnections: 4_096,
  closeGraceMs: 5_000,
  connectTimeoutMs: 1_000,
  maxAnswerBytes: 16 * MIB,
  maxStreamEventBytes: 256 * KIB,
  probeTimeoutMs: 1_000,
  platformTimeoutMs: 5_000,
  peerTimeoutMs: 2_000,
  maxPeerMessageBytes: 4 * MIB,
  maxPeerCallsInFlight: 256,
  maxPeerConnections: 700,
};

/** Fills in the defaults; every limit must be a positive number. */
export function completeShellOptions(options: Partial<ShellOptions>): Result<ShellOptions, string> {
  const complete = { ...DEFAULT_SHELL_OPTIONS, ...options };
  const invalid = Object.entries(complete).find(([, value]) => !(value > 0));
  return invalid === undefined ? ok(complete) : err(`${invalid[0]} must be a positive number.`);
}
