import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { SharePlanOptions } from './money/planShare.ts';
import { DEFAULT_SHARE_PLAN } from './money/planShare.ts';
import type { ReleaseOptions } from './money/release.ts';
import type { PlacementOptions } from './placement/options.ts';
import { DEFAULT_PLACEMENT } from './placement/options.ts';

/** Every time and limit of the gateway. Bounds that the operator promises replace the defaults at the start. */
export interface GatewayOptions {
  /** Period in which a share is settled and brought to its target: the others see spending within a second. */
  readonly settlePeriodMs: number;
  /**
   * Reports of spending to one organisation's totals that all routers make in a second: a twentieth of the changes
   * that one part of the store takes, so that draws seldom conflict with them.
   */
  readonly settlesPerSecond: number;
  /** Pause between draws while requests wait: two answers of the store. */
  readonly redrawDelayMs: number;
  /** First pause after a store call without an answer. */
  readonly storeBackoffMs: number;
  /** Longest such pause: below the time in which a returning store must be noticed. */
  readonly storeBackoffMaxMs: number;
  /** Time since the store's last answer in which it counts as reachable: several of its usual answers. */
  readonly storeHeardRecentlyMs: number;
  /** Conflicts in a row after which a change waits for its next turn, so that routers do not block each other. */
  readonly ledgerConflictTries: number;
  readonly sharePlan: SharePlanOptions;
  /** Period of the liveness record. */
  readonly livenessPeriodMs: number;
  /** Pause before a record that had to wait for a share's row is tried again. */
  readonly livenessRetryMs: number;
  readonly release: ReleaseOptions;
  /** Organisations up to which a router opens all accounts at its start, to recover its earlier life's shares. */
  readonly eagerAccounts: number;
  /** Time that the store has to answer a draw before other routers are asked: three of its usual answers. */
  readonly firstBorrowMs: number;
  /** Time in which a lender may draw tokens for a loan. */
  readonly loanDrawMs: number;
  /** Pause between rounds of asking other routers. */
  readonly borrowPauseMs: number;
  /** Longest wait for tokens, as a part of the time within which the answer is on time. */
  readonly budgetWaitTargetPart: number;
  readonly placement: PlacementOptions;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  /** Delay sent with a refusal when nothing better is known. */
  readonly retryAfterMs: number;
  /** Time after the deadline in which an upstream's own final answer may still arrive. */
  readonly deadlineGraceMs: number;
  /** Silence of an upstream, over all its connections, after which a repeatable request moves on. */
  readonly silentUpstreamMs: number;
  /** Silence of one connection after which a repeatable request moves on: below the two seconds of callers. */
  readonly silentConnectionMs: number;
  /** Time from the stop signal in which new requests are still taken, while callers learn other addresses. */
  readonly drainAcceptMs: number;
  /** Time from the stop signal after which the process ends, with a margin before it is killed. */
  readonly drainLimitMs: number;
  /** A router whose row has not changed for this long leaves the entry answers: two missed heartbeats. */
  readonly routerSilentMs: number;
  readonly heartbeatMs: number;
  /** How long callers keep an entry answer. */
  readonly entryTtlMs: number;
}

export const DEFAULT_OPTIONS: GatewayOptions = {
  settlePeriodMs: 1_000,
  settlesPerSecond: 10,
  redrawDelayMs: 15,
  storeBackoffMs: 50,
  storeBackoffMaxMs: 250,
  storeHeardRecentlyMs: 150,
  ledgerConflictTries: 6,
  sharePlan: DEFAULT_SHARE_PLAN,
  livenessPeriodMs: 400,
  livenessRetryMs: 100,
  release: { graceMs: 1_000 },
  eagerAccounts: 100,
  firstBorrowMs: 20,
  loanDrawMs: 40,
  borrowPauseMs: 150,
  budgetWaitTargetPart: 0.2,
  placement: DEFAULT_PLACEMENT,
  retryRatio: 0.1,
  retryWindowMs: 10_000,
  retrySlack: 20,
  retryAfterMs: 700,
  deadlineGraceMs: 120,
  silentUpstreamMs: 900,
  silentConnectionMs: 1_400,
  drainAcceptMs: 2_800,
  drainLimitMs: 7_600,
  routerSilentMs: 2_600,
  heartbeatMs: 1_000,
  entryTtlMs: 1_500,
};

/** Applies defaults and checks the result. */
export function createOptions(given: Partial<GatewayOptions> = {}): Result<GatewayOptions, string> {
  const options = { ...DEFAULT_OPTIONS, ...given };
  const wrong = Object.entries(options).find(
    ([, value]) => typeof value === 'number' && !(Number.isFinite(value) && value >= 0),
  );
  if (wrong !== undefined) {
    return err(`${wrong[0]}: expected a number that is not negative; correct the setting`);
  }
  if (options.drainAcceptMs >= options.drainLimitMs) {
    return err('drainAcceptMs: expected less than drainLimitMs; lower it, so that open requests can finish');
  }
  return ok(options);
}
