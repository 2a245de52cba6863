import { homeDemandPerSecond, PRIOR_DEMAND_PER_SECOND } from './assumedDemand.ts';
import { DemandRate } from './demandRate.ts';
import type { SharePlanOptions } from './planShare.ts';
import { planShare } from './planShare.ts';
import type { KnownGrant } from './knownGrant.ts';
import type { LedgerIdentity, LedgerPlanInput } from './ledgerInput.ts';
import { recoverableTokens } from './previousShare.ts';
import { spendableTokens } from './release.ts';
import type { ShareRole } from './shareRole.ts';
import { drawingRouterCount, ShareRoleKind } from './shareRole.ts';
import type { LedgerChange, LedgerOutcome, LedgerSnapshot, ShareRecord } from './types.ts';
import { EMPTY_SNAPSHOT, LedgerOutcomeKind } from './types.ts';

/** Factor by which the largest request size decays with each request. */
const LARGEST_REQUEST_DECAY = 0.98;
/** Weight of the newest request in the moving average of request sizes. */
const REQUEST_SIZE_SMOOTHING = 0.1;
/** With fewer requests than this per share horizon, a router counts as sparse and borrows no more than it needs. */
const MIN_REQUESTS_PER_HORIZON = 4;
/** A limit is raised once less than this fraction of its headroom is left. */
const LIMIT_REFRESH_FRACTION = 0.6;
/** The same for a home router, whose limit is raised as soon as it falls below and not once per period. */
const HOME_LIMIT_REFRESH_FRACTION = 0.5;
/** Earlier eras of the store whose late changes are refused; a return takes longer than a store performs a write late. */
const MAX_CLOSED_ERAS = 4;
/** Age up to which the totals tell how much of the budget is left. */
const RECENT_TOTALS_MS = 5_000;

/**
 * One router's share of one organisation's budget. Tokens are spent only after the store has debited them, so the
 * budget cannot be exceeded, whatever happens to this process, its clock or its network.
 *
 * While the store responds, spending is also bounded by a limit in the share row. During a store outage, tokens beyond
 * the limit are released over time. The router's next incarnation returns the tokens that this one cannot have spent.
 *
 * A change without a reply may or may not have been applied, and can no longer be applied once another change is
 * committed on the same versions. Until a reply shows the current rows, the lower amounts of all candidates apply.
 *
 * A store that comes back from a copy has lost the latest changes, but the tokens were debited from the budget before.
 * The share stays spendable, and its amounts are written again: the totals grow by what the share row lacks.
 */
export class OrganisationLedger {
  private snapshot: LedgerSnapshot = EMPTY_SNAPSHOT;
  /** Changes without a reply. All of them are based on the current snapshot, so at most one can be applied. */
  private unanswered: LedgerChange[] = [];
  private storeEra: number | undefined;
  /** Eras of the store in which this ledger has sent changes. */
  private earlierEras: readonly number[] = [];
  /** Amounts of the share when the store came back from a copy; undefined once they are written again. */
  private unrestored: ShareRecord | undefined;
  private spentTokens = 0;
  private reservedTokens = 0;
  private largestRequestTokens = 0;
  private averageRequestTokens = 0;
  /** Monotonic times of the latest requests, oldest first. */
  private lastRequestTimesMs: readonly number[] = [];
  private readonly ownDemand: DemandRate;
  private readonly fleetDemand: DemandRate;
  private lastSettledTotalTokens: number | undefined;
  /** Monotonic time at which a reply last showed or confirmed the share row; undefined before the first reply. */
  syncedAtMs: number | undefined;
  /** Monotonic time of the first request or, at a home router, loan; undefined before it. */
  private firstDemandAtMs: number | undefined;
  /** Monotonic time at which a reply last showed the totals. */
  private totalsSyncedAtMs = -Infinity;
  /** Headroom below which the limit is to be raised, according to the last plan. */
  private lowHeadroomTokens = 0;
  /** Monotonic time of the last committed change that included the totals. */
  private totalsCommittedAtMs = -Infinity;
  /** Monotonic time before which the totals are only changed to draw tokens that requests wait for. */
  private totalsPostponedUntilMs = -Infinity;

  constructor(
    private readonly identity: LedgerIdentity,
    nowMs: number,
  ) {
    this.ownDemand = new DemandRate(nowMs);
    this.fleetDemand = new DemandRate(nowMs);
    this.storeEra = identity.storeEra;
  }

  /** True until the amounts of the share are written again after a return of the store. */
  get isRestoring(): boolean {
    return this.unrestored !== undefined;
  }

  /** Called when the store has come back from a copy, before a reply of the new era is used. */
  beginEra(era: number): void {
    if (this.storeEra !== undefined) {
      this.earlierEras = [...this.earlierEras, this.storeEra].slice(-MAX_CLOSED_ERAS);
    }
    this.storeEra = era;
    if (this.heldShare !== undefined || this.unanswered.length > 0) {
      this.unrestored = {
        incarnationId: this.identity.incarnationId,
        grantedTokens: this.minShareAmount(({ grantedTokens }) => grantedTokens),
        settledTokens: this.minShareAmount(({ settledTokens }) => settledTokens),
        limitTokens: this.minShareAmount(({ limitTokens }) => limitTokens),
        releaseTokensPerSecond: this.minShareAmount(({ releaseTokensPerSecond }) => releaseTokensPerSecond),
      };
    }
  }

  /** Tokens of the share that are neither spent nor reserved. */
  get freeTokens(): number {
    const granted = this.minShareAmount(({ grantedTokens }) => grantedTokens);
    return granted - this.usedTokens;
  }

  /** True if spent and reserved tokens are within the limit stored in the share row. */
  get isWithinLimit(): boolean {
    return this.usedTokens <= this.minShareAmount(({ limitTokens }) => limitTokens);
  }

  /** True if the share, or a change of it without a reply, holds tokens that are only released in a store outage. */
  get hasTokensBeyondLimit(): boolean {
    const candidates = [this.heldShare, ...this.unanswered.map(({ share }) => share)];
    return candidates.some((share) => share !== undefined && share.grantedTokens > share.limitTokens);
  }

  get rows(): LedgerSnapshot {
    return this.snapshot;
  }

  get reserved(): number {
    return this.reservedTokens;
  }

  /** Monotonic time of the latest request; -Infinity before the first. */
  get lastDemandAtMs(): number {
    return this.lastRequestTimesMs.at(-1) ?? -Infinity;
  }

  /** Moving average of the tokens of a request. */
  get averageTokens(): number {
    return this.averageRequestTokens;
  }

  /** True if the limit is nearly used up and the share holds tokens beyond it. */
  get isLimitLow(): boolean {
    const own = this.heldShare;
    return (
      own !== undefined &&
      own.grantedTokens > own.limitTokens &&
      own.limitTokens - this.usedTokens < this.lowHeadroomTokens
    );
  }

  /** True if a reply has recently shown how much of the budget is drawn and spent. */
  hasRecentTotals(nowMs: number): boolean {
    return nowMs - this.totalsSyncedAtMs < RECENT_TOTALS_MS;
  }

  /** Records the demand of a request, including requests that are refused afterwards. */
  recordDemand(tokens: number, nowMs: number): void {
    this.ownDemand.record(tokens, nowMs);
    this.firstDemandAtMs ??= nowMs;
    this.lastRequestTimesMs = [...this.lastRequestTimesMs, nowMs].slice(-MIN_REQUESTS_PER_HORIZON);
    this.averageRequestTokens += (tokens - this.averageRequestTokens) * REQUEST_SIZE_SMOOTHING;
    this.largestRequestTokens = Math.max(tokens, this.largestRequestTokens * LARGEST_REQUEST_DECAY);
  }

  /** @param silentMs outage length as returned by `silentMs()` in ledgerController.ts. */
  tryReserve(tokens: number, silentMs: number): boolean {
    if (this.spendableFreeTokens(silentMs) < tokens) {
      return false;
    }
    this.reservedTokens += tokens;
    return true;
  }

  /** Tokens that can be reserved now. */
  spendableFreeTokens(silentMs: number): number {
    return (
      this.minShareAmount((share) => spendableTokens(share, silentMs, this.identity.release)) -
      this.usedTokens
    );
  }

  /** Tokens that this router's requests ask for in a period of this length, at the recent rate. */
  demandTokens(periodMs: number, nowMs: number): number {
    return (this.ownDemand.perSecond(nowMs) * periodMs) / 1_000;
  }

  /** True if this router has too few requests to keep a share of its own. */
  isSparse(horizonMs: number, nowMs: number): boolean {
    const [earliestMs = -Infinity] = this.lastRequestTimesMs;
    return this.lastRequestTimesMs.length < MIN_REQUESTS_PER_HORIZON || nowMs - earliestMs > horizonMs;
  }

  /** Adds tokens that the lender has recorded as spent by subtracting them from this router's own spending. */
  receiveLoan(tokens: number): void {
    this.spentTokens -= tokens;
  }

  /** Subtracts tokens of a loan that go back to the lender, by counting them as spent here. */
  giveBackLoan(tokens: number): void {
    this.spentTokens += tokens;
  }

  /** Replaces a reservation with the tokens actually spent and frees the rest. */
  settle(reservedTokens: number, spentTokens: number): void {
    this.reservedTokens -= reservedTokens;
    this.spentTokens += spentTokens;
  }

  /** Demand of the organisation at all routers in tokens per second, as the totals show it. */
  fleetDemandPerSecond(nowMs: number): number {
    return this.fleetDemand.perSecond(nowMs);
  }

  /**
   * True if the last known totals cannot cover the request, even if other routers return all unspent tokens.
   *
   * @param outstandingTokens loans that the totals show as spent but that may lie unspent with borrowers
   */
  isExhausted(budgetTokens: number, outstandingTokens: number, tokens: number): boolean {
    const { settledTokens } = this.snapshot.total;
    return this.syncedAtMs !== undefined && budgetTokens - settledTokens + outstandingTokens < tokens;
  }

  /** Returns the next transaction, or undefined if no change is needed. */
  plan(input: LedgerPlanInput, options: SharePlanOptions): LedgerChange | undefined {
    const { budgetTokens, neededTokens, leastNeededTokens, mayDraw, role, settlePeriodMs, nowMs } = input;
    if (!mayDraw && this.heldShare === undefined) {
      // The row of an earlier incarnation may lack what it has spent.
      return undefined;
    }
    const grantedTokens = this.newestGrantedTokens(input.knownGrant);
    if (!this.isRestoring && neededTokens === 0 && this.livesOnLoans(role, grantedTokens > budgetTokens)) {
      return undefined;
    }
    const freeTokens = Math.max(0, this.freeTokens);
    const { total } = this.snapshot;
    const fleetDemand = this.fleetDemand.perSecond(nowMs);
    const ownDemand = this.plannedDemandPerSecond(role, budgetTokens, nowMs);
    const isHome = role.kind === ShareRoleKind.Home;
    // Assumed demand of the fleet, of which `demandFraction` attributes an equal part to each router that draws.
    const fleetPrior = budgetTokens * PRIOR_DEMAND_PER_SECOND;
    const plannedDelta = planShare(
      {
        freeTokens,
        neededTokens: Math.max(0, neededTokens - freeTokens),
        leastNeededTokens: Math.max(0, leastNeededTokens - freeTokens),
        averageRequestTokens: this.averageRequestTokens,
        largestRequestTokens: this.largestRequestTokens,
        drawsInAdvance: role.kind !== ShareRoleKind.Borrower,
        demandTokensPerSecond: ownDemand,
        horizonMs: isHome ? options.homeHorizonMs : options.horizonMs,
        demandFraction:
          (ownDemand + fleetPrior / drawingRouterCount(role)) /
          (Math.max(fleetDemand, ownDemand) + fleetPrior),
        budgetTokens,
        grantedTokens: grantedTokens - this.recoverableTokens,
        remainingTokens: budgetTokens - total.settledTokens - total.strandedTokens,
        heldTokens: total.grantedTokens - total.settledTokens - total.strandedTokens,
      },
      options,
    );
    const delta = this.isRestoring ? 0 : mayDraw ? plannedDelta : Math.min(0, plannedDelta);
    const limitHorizonMs = isHome ? options.homeLimitHorizonMs : options.limitHorizonMs;
    const headroomTokens = (ownDemand * limitHorizonMs) / 1_000;
    this.lowHeadroomTokens = isHome ? headroomTokens * HOME_LIMIT_REFRESH_FRACTION : 0;
    const change = this.buildChange(delta, {
      limitTokens: this.usedTokens + Math.max(headroomTokens, neededTokens),
      releaseTokensPerSecond: ownDemand * options.releaseDemandFactor + this.largestRequestTokens / 2,
    });
    if (this.isRestoring) {
      return change;
    }
    const refreshFraction = isHome ? HOME_LIMIT_REFRESH_FRACTION : LIMIT_REFRESH_FRACTION;
    const leastHeadroomTokens = Math.max(headroomTokens * refreshFraction, neededTokens);
    const refreshesTotals = input.refreshesTotals && this.unanswered.length === 0;
    if (!refreshesTotals && !this.isChangeNeeded(change, leastHeadroomTokens)) {
      return undefined;
    }
    const own = this.ownShare;
    // Changes of the totals may conflict with other routers; these only need a change of this router's row.
    const ownGrantedTokens = own?.grantedTokens ?? 0;
    const shareChange: LedgerChange = {
      ...change,
      total: undefined,
      share: {
        ...change.share,
        grantedTokens: ownGrantedTokens,
        settledTokens: own?.settledTokens ?? 0,
        limitTokens: Math.min(change.share.limitTokens, ownGrantedTokens),
      },
    };
    const postponed = neededTokens <= freeTokens && nowMs < this.totalsPostponedUntilMs;
    if (own === undefined) {
      const { share } = this.snapshot;
      if (share !== undefined && (this.hasUnrecoveredShare || isHome)) {
        // The tokens of the previous incarnation can only be returned together with its row.
        return postponed ? undefined : change;
      }
      return neededTokens > 0 || (isHome && !postponed) ? change : shareChange;
    }
    if (this.unanswered.length > 0) {
      // Once this change is committed, or conflicts with the one that was applied, no other one can be applied.
      return shareChange;
    }
    const totalsDue = refreshesTotals || delta !== 0 || nowMs - this.totalsCommittedAtMs >= settlePeriodMs;
    if (totalsDue && (refreshesTotals || !postponed)) {
      return change;
    }
    // Once the limit covers the whole share, writing the row again would not help a waiting request.
    const raisesLimit = shareChange.share.limitTokens > own.limitTokens;
    return raisesLimit && this.lacksLimit(own, leastHeadroomTokens) ? shareChange : undefined;
  }

  /**
   * Postpones changes of the totals that no request waits for. After an outage, all routers would otherwise change
   * them at the same time.
   */
  postponeTotals(untilMs: number): void {
    this.totalsPostponedUntilMs = untilMs;
  }

  /** Returns a transaction that gives back all free tokens when the router shuts down; undefined if none is needed. */
  planReturn(mayDraw: boolean): LedgerChange | undefined {
    if (!mayDraw && this.heldShare === undefined) {
      return undefined;
    }
    const hasNoRow = this.ownShare === undefined && !this.hasUnrecoveredShare;
    if (hasNoRow && this.syncedAtMs !== undefined && this.unanswered.length === 0 && this.freeTokens <= 0) {
      return undefined;
    }
    const change = this.buildChange(-Math.max(0, this.freeTokens), {
      limitTokens: this.usedTokens,
      releaseTokensPerSecond: 0,
    });
    return this.isRestoring || this.isChangeNeeded(change, 0) ? change : undefined;
  }

  /** Must be called before the change is sent, so that returned tokens cannot be spent while the outcome is open. */
  recordSent(change: LedgerChange): void {
    this.unanswered.push(change);
  }

  recordOutcome(change: LedgerChange, outcome: LedgerOutcome, nowMs: number): void {
    switch (outcome.kind) {
      case LedgerOutcomeKind.Committed:
        if (this.ownShare === undefined) {
          // The row of this incarnation exists now, and draws in advance need not wait.
          this.totalsPostponedUntilMs = -Infinity;
        }
        this.applySnapshot(
          {
            totalVersion: change.total === undefined ? change.base.totalVersion : outcome.rowVersion,
            total: change.total ?? change.base.total,
            shareVersion: outcome.rowVersion,
            share: change.share,
          },
          nowMs,
        );
        if (change.share.storeEra === this.storeEra) {
          this.unrestored = undefined;
        }
        if (change.total !== undefined) {
          this.totalsCommittedAtMs = nowMs;
          this.totalsSyncedAtMs = nowMs;
        }
        return;
      case LedgerOutcomeKind.Conflict:
        this.applySnapshot(outcome.snapshot, nowMs);
        this.totalsSyncedAtMs = change.total === undefined ? this.totalsSyncedAtMs : nowMs;
        return;
      case LedgerOutcomeKind.Rejected:
        this.unanswered = this.unanswered.filter((sent) => sent !== change);
        return;
      case LedgerOutcomeKind.Unknown:
        return;
    }
  }

  private applySnapshot(snapshot: LedgerSnapshot, nowMs: number): void {
    this.snapshot = snapshot;
    this.unanswered = [];
    this.syncedAtMs = nowMs;
    if (snapshot.totalVersion > 0) {
      const settled = snapshot.total.settledTokens;
      this.fleetDemand.record(Math.max(0, settled - (this.lastSettledTotalTokens ?? settled)), nowMs);
      this.lastSettledTotalTokens = Math.max(settled, this.lastSettledTotalTokens ?? settled);
    }
  }

  private get usedTokens(): number {
    return this.spentTokens + this.reservedTokens;
  }

  /** This incarnation's share row; undefined if the row is missing or belongs to an earlier incarnation. */
  private get ownShare(): ShareRecord | undefined {
    const { share } = this.snapshot;
    return share?.incarnationId === this.identity.incarnationId ? share : undefined;
  }

  /** The amounts of this incarnation's share, which the share row may lack after a return of the store. */
  private get heldShare(): ShareRecord | undefined {
    return this.unrestored ?? this.ownShare;
  }

  /** True if the share row of an earlier incarnation has tokens that were not reported as spent. */
  private get hasUnrecoveredShare(): boolean {
    const { share } = this.snapshot;
    return this.ownShare === undefined && share !== undefined && share.grantedTokens !== share.settledTokens;
  }

  /** Tokens granted to an earlier incarnation that it cannot have spent. */
  private get recoverableTokens(): number {
    const { incarnationId, previousIncarnation } = this.identity;
    const { share } = this.snapshot;
    return share === undefined || share.incarnationId === incarnationId
      ? 0
      : recoverableTokens(share, previousIncarnation, this.storeEra);
  }

  /** Minimum of an amount over the share row and its unanswered changes; 0 if this incarnation has no row yet. */
  private minShareAmount(amount: (share: ShareRecord) => number): number {
    const own = this.heldShare;
    return this.unanswered.reduce(
      (lowest, { share }) => Math.min(lowest, amount(share)),
      own === undefined ? 0 : amount(own),
    );
  }

  private buildChange(
    deltaTokens: number,
    { limitTokens, releaseTokensPerSecond }: Pick<ShareRecord, 'limitTokens' | 'releaseTokensPerSecond'>,
  ): LedgerChange {
    const { total, share } = this.snapshot;
    const own = this.ownShare;
    const recovered = this.recoverableTokens;
    const stranded =
      own === undefined && share !== undefined ? share.grantedTokens - recovered - share.settledTokens : 0;
    const grantedTokens = (this.heldShare?.grantedTokens ?? 0) + deltaTokens;
    return {
      base: this.snapshot,
      total: {
        grantedTokens: total.grantedTokens - recovered + grantedTokens - (own?.grantedTokens ?? 0),
        settledTokens: total.settledTokens + this.spentTokens - (own?.settledTokens ?? 0),
        strandedTokens: total.strandedTokens + stranded,
      },
      share: {
        incarnationId: this.identity.incarnationId,
        grantedTokens,
        settledTokens: this.spentTokens,
        limitTokens: Math.min(grantedTokens, Math.ceil(limitTokens)),
        releaseTokensPerSecond: Math.ceil(releaseTokensPerSecond),
        storeEra: this.storeEra,
      },
      ...(this.isRestoring && { closedEras: this.earlierEras }),
    };
  }

  /** True if the change draws or returns tokens, reports spending, or raises a limit that is nearly used up. */
  private isChangeNeeded(change: LedgerChange, leastHeadroomTokens: number): boolean {
    const own = this.ownShare;
    if (own === undefined || this.syncedAtMs === undefined || this.unanswered.length > 0) {
      // Only a reply shows whether an unanswered change was applied; until then the lower amounts apply.
      return true;
    }
    const movesTokens =
      change.share.grantedTokens !== own.grantedTokens || change.share.settledTokens !== own.settledTokens;
    const raisesLimit = change.share.limitTokens > own.limitTokens;
    return movesTokens || (raisesLimit && this.lacksLimit(own, leastHeadroomTokens));
  }

  private lacksLimit({ limitTokens }: ShareRecord, leastHeadroomTokens: number): boolean {
    return limitTokens - this.usedTokens < leastHeadroomTokens;
  }

  /**
   * True for a borrower whose share row has nothing to report: it holds no drawn tokens, and what it has spent are loans,
   * which the lenders have reported. A row of an earlier incarnation must be recovered first, and tokens of an overdrawn
   * budget be returned.
   */
  private livesOnLoans({ kind }: ShareRole, isOverdrawn: boolean): boolean {
    const own = this.ownShare;
    return (
      kind === ShareRoleKind.Borrower &&
      this.syncedAtMs !== undefined &&
      this.unanswered.length === 0 &&
      (own === undefined
        ? !this.hasUnrecoveredShare
        : own.grantedTokens <= own.settledTokens && this.spentTokens <= own.settledTokens) &&
      (!isOverdrawn || this.freeTokens <= 0)
    );
  }

  /** Tokens drawn by all routers, by the newest reply that showed them. */
  private newestGrantedTokens({ totalVersion, grantedTokens }: KnownGrant): number {
    return totalVersion > this.snapshot.totalVersion ? grantedTokens : this.snapshot.total.grantedTokens;
  }

  /** Demand for which the share is planned, in tokens per second. */
  private plannedDemandPerSecond(role: ShareRole, budgetTokens: number, nowMs: number): number {
    const measuredTokensPerSecond = this.ownDemand.perSecond(nowMs);
    switch (role.kind) {
      case ShareRoleKind.Home:
        return homeDemandPerSecond({
          budgetTokens,
          homeCount: role.homeCount,
          sinceFirstDemandMs: this.firstDemandAtMs === undefined ? undefined : nowMs - this.firstDemandAtMs,
          measuredTokensPerSecond,
        });
      case ShareRoleKind.Independent:
      case ShareRoleKind.Borrower:
        return measuredTokensPerSecond;
    }
  }
}
