import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';

/** Limits of the adapters. Sizes bound what one peer, caller or upstream can make the router hold. */
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
  /** After the core's exit, answers and messages that are still being written get this long to finish. */
  readonly closeGraceMs: number;
  /** Below `pauseLimitMs`, so that a slow connection is not taken for a pause. */
  readonly connectTimeoutMs: number;
  /** Longest answer of a plain service or of the platform. */
  readonly maxAnswerBytes: number;
  /** Longest event of an engine's stream. */
  readonly maxStreamEventBytes: number;
  readonly probeTimeoutMs: number;
  readonly platformTimeoutMs: number;
  readonly peerTimeoutMs: number;
  readonly maxPeerMessageBytes: number;
  /** Messages to one peer that may wait for their acknowledgement; further ones are dropped. */
  readonly maxPeerCallsInFlight: number;
  /** Above this, connections without calls are closed. Twice the largest fleet that is planned for. */
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

/** Completes options with the defaults; every limit must be a positive number. */
export function completeShellOptions(options: Partial<ShellOptions>): Result<ShellOptions, string> {
  const complete = { ...DEFAULT_SHELL_OPTIONS, ...options };
  const wrong = Object.entries(complete).find(([, value]) => !(value > 0));
  return wrong === undefined ? ok(complete) : err(`${wrong[0]} must be a positive number.`);
}
