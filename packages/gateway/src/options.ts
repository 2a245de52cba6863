import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { MemoryOptions } from './memory/options.ts';
import { DEFAULT_MEMORY } from './memory/options.ts';
import type { SharePlanOptions } from './money/planShare.ts';
import { DEFAULT_SHARE_PLAN } from './money/planShare.ts';
import type { ReleaseOptions } from './money/release.ts';
import type { ColdLimits } from './placement/coldAllowance.ts';
import type { PlacementOptions } from './placement/options.ts';
import { DEFAULT_PLACEMENT } from './placement/options.ts';
import type { ZoneSpillOptions } from './placement/zoneSpill.ts';
import type { QuarantineOptions } from './quarantine/options.ts';
import { DEFAULT_QUARANTINE } from './quarantine/options.ts';

/** Timeouts, periods and limits of the gateway. The operator's settings override the defaults at startup. */
export interface GatewayOptions {
  /** Period of settling a share and adjusting it to its target; other routers see spending within a second. */
  readonly settlePeriodMs: number;
  /** The same for a home router; the few home routers of an organisation rarely conflict. */
  readonly homeSettlePeriodMs: number;
  /**
   * Settlements per second that all routers together write to the totals of one organisation. One twentieth of the
   * write rate of a store partition, so that draws rarely conflict with settlements.
   */
  readonly settlesPerSecond: number;
  /** Delay between draws while requests wait for tokens: two typical round trips to the store. */
  readonly redrawDelayMs: number;
  /** Initial backoff after a store call that got no reply. */
  readonly storeBackoffMs: number;
  /** Maximum backoff; shorter than the time within which the recovery of the store must be detected. */
  readonly storeBackoffMaxMs: number;
  /** The store counts as reachable for this long after its last reply: several typical round trips. */
  readonly storeHeardRecentlyMs: number;
  /** Consecutive conflicts after which a write waits for its next period, so that routers do not livelock. */
  readonly ledgerConflictTries: number;
  readonly sharePlan: SharePlanOptions;
  /** Period of writing the liveness record. */
  readonly livenessPeriodMs: number;
  /** Delay before retrying a liveness record that had to wait for the row of a share. */
  readonly livenessRetryMs: number;
  readonly release: ReleaseOptions;
  /** Up to this many organisations, a router opens all accounts at startup to recover its previous shares. */
  readonly eagerAccounts: number;
  /** Time to wait for a draw from the store before borrowing from peers: three typical round trips. */
  readonly firstBorrowMs: number;
  /** Time within which a lender may draw the tokens of a loan from the store. */
  readonly loanDrawMs: number;
  /** Delay between rounds of loan requests to peers. */
  readonly borrowPauseMs: number;
  /** Maximum wait for tokens that may not come, as a fraction of the target latency (see money/tokenWait.ts). */
  readonly budgetWaitTargetPart: number;
  readonly placement: PlacementOptions;
  /** Set if the router decides which of its requests leave the zone; otherwise distance has a constant cost. */
  readonly zoneSpill: ZoneSpillOptions | undefined;
  readonly quarantine: QuarantineOptions;
  /** Bound of the requests to cold engines; undefined if the deployment has none, and cold engines are not limited. */
  readonly coldBound: Pick<ColdLimits, 'overshoot' | 'slack'> | undefined;
  readonly memory: MemoryOptions;
  readonly retryRatio: number;
  readonly retryWindowMs: number;
  readonly retrySlack: number;
  /** Default retry delay that is sent with a rejection. */
  readonly retryAfterMs: number;
  /** Retry delay of a request that another router can take at once. */
  readonly otherRouterRetryMs: number;
  /** Time after the deadline during which a final response of the upstream is still accepted. */
  readonly deadlineGraceMs: number;
  /** Inactivity of an upstream, over all its connections, after which a retryable request is retried elsewhere. */
  readonly silentUpstreamMs: number;
  /** Inactivity of one connection after which a retryable request is retried; callers give up after 2 s. */
  readonly silentConnectionMs: number;
  /** Time after the stop signal during which new requests are accepted while callers switch to other routers. */
  readonly drainAcceptMs: number;
  /** Time after the stop signal at which requests that are still open are ended, with a margin before a kill. */
  readonly drainLimitMs: number;
  /** Entry responses omit a router whose row has not changed for this long: two missed heartbeats. */
  readonly routerSilentMs: number;
  readonly heartbeatMs: number;
  /** Time for which callers cache an entry response. */
  readonly entryTtlMs: number;
}

export const DEFAULT_OPTIONS: GatewayOptions = {
  settlePeriodMs: 1_000,
  homeSettlePeriodMs: 3_000,
  settlesPerSecond: 10,
  redrawDelayMs: 15,
  storeBackoffMs: 50,
  storeBackoffMaxMs: 250,
  storeHeardRecentlyMs: 150,
  ledgerConflictTries: 6,
  sharePlan: DEFAULT_SHARE_PLAN,
  livenessPeriodMs: 400,
  livenessRetryMs: 100,
  release: { graceMs: 800 },
  eagerAccounts: 100,
  firstBorrowMs: 20,
  loanDrawMs: 40,
  borrowPauseMs: 150,
  budgetWaitTargetPart: 0.2,
  placement: DEFAULT_PLACEMENT,
  zoneSpill: undefined,
  quarantine: DEFAULT_QUARANTINE,
  coldBound: undefined,
  memory: DEFAULT_MEMORY,
  retryRatio: 0.1,
  retryWindowMs: 10_000,
  retrySlack: 20,
  retryAfterMs: 700,
  otherRouterRetryMs: 50,
  deadlineGraceMs: 120,
  silentUpstreamMs: 900,
  silentConnectionMs: 1_400,
  drainAcceptMs: 2_800,
  drainLimitMs: 7_600,
  routerSilentMs: 2_600,
  heartbeatMs: 1_000,
  entryTtlMs: 1_500,
};

/** Applies the defaults and validates the result. */
export function createOptions(overrides: Partial<GatewayOptions> = {}): Result<GatewayOptions, string> {
  const options = { ...DEFAULT_OPTIONS, ...overrides };
  const invalid = Object.entries(options).find(
    ([, value]) => typeof value === 'number' && !(Number.isFinite(value) && value >= 0),
  );
  if (invalid !== undefined) {
    return err(`${invalid[0]}: expected a non-negative finite number; correct the setting`);
  }
  if (options.drainAcceptMs >= options.drainLimitMs) {
    return err(
      'drainAcceptMs: expected a value below drainLimitMs; lower it, so that open requests can finish',
    );
  }
  return ok(options);
}
