import { DemandRate } from './demandRate.ts';
import type { SharePlanOptions } from './planShare.ts';
import { planShare } from './planShare.ts';
import type { PreviousIncarnation } from './liveness.ts';
import type { ReleaseOptions } from './release.ts';
import { spendableTokens } from './release.ts';
import type { LedgerChange, LedgerOutcome, LedgerSnapshot, ShareRecord } from './types.ts';
import { EMPTY_SNAPSHOT, LedgerOutcomeKind } from './types.ts';

/** Part of the largest request that is kept at each further one. */
const LARGEST_REQUEST_DECAY = 0.98;
/**
 * Part of a budget that all routers are taken to use each second before their demand is known, so that the first
 * router to draw does not take the shares of the others: a day's budget lasts for about a minute at it.
 */
const PRIOR_DEMAND_PER_SECOND = 0.016;
/** Weight of the newest request in the usual size of requests. */
const USUAL_REQUEST_WEIGHT = 0.1;
/** Requests in the horizon of a share below which a router borrows for each of them. */
const SPARSE_REQUESTS = 4;
/** A limit is raised once less than this part of its headroom is left. */
const LIMIT_REFRESH_PART = 0.6;

export interface LedgerIdentity {
  readonly incarnationId: string;
  readonly previousIncarnation: PreviousIncarnation;
  readonly release: ReleaseOptions;
}

export interface LedgerPlanInput {
  /** The organisation's budget in force. */
  readonly budgetTokens: number;
  /** Tokens that waiting requests need beyond what is free. */
  readonly neededTokens: number;
  /** Tokens of the smallest of them; 0 if none waits. */
  readonly leastNeededTokens: number;
  /** Routers that draw from the budget. */
  readonly routerCount: number;
  /** True if the organisation has homes and this router is none of them. */
  readonly awayFromHome: boolean;
  /** Longest time for which spending stays unreported in the totals. */
  readonly settlePeriodMs: number;
  readonly nowMs: number;
}

/**
 * One router's share of one organisation's budget. Tokens are spent only from what the store has debited, so the
 * budget holds whatever happens to this process, its clock or its links.
 *
 * While the store answers, spending also keeps to a limit in the share's row; while it is silent, the share opens
 * with time. The next life of the router gives back what this one cannot have spent.
 *
 * After an unanswered change, the rows either hold it or never will once a later change is committed on the same
 * versions. Until a reply shows the rows, the lower amounts of both count.
 */
export class OrganisationLedger {
  private snapshot: LedgerSnapshot = EMPTY_SNAPSHOT;
  /** Changes without an answer. All have the present snapshot as their base, so at most one can be made. */
  private unanswered: LedgerChange[] = [];
  private spentTokens = 0;
  private reservedTokens = 0;
  private largestRequestTokens = 0;
  private usualRequestTokens = 0;
  /** Monotonic times of the newest requests, oldest first. */
  private lastRequestsMs: readonly number[] = [];
  private readonly ownDemand: DemandRate;
  private readonly fleetDemand: DemandRate;
  private settledSeenTokens: number | undefined;
  /** Monotonic time at which the share's row was last known; undefined before the first reply. */
  syncedAtMs: number | undefined;
  /** Monotonic time of the last change of both rows. */
  private settledAtMs = -Infinity;

  constructor(
    private readonly identity: LedgerIdentity,
    nowMs: number,
  ) {
    this.ownDemand = new DemandRate(nowMs);
    this.fleetDemand = new DemandRate(nowMs);
  }

  /** Tokens of the share that are neither spent nor reserved. */
  get freeTokens(): number {
    const granted = this.lowestShare(({ grantedTokens }) => grantedTokens);
    return granted - this.usedTokens;
  }

  /** True if spending and reservations keep to the limit that the row holds. */
  get isWithinLimit(): boolean {
    return this.usedTokens <= this.lowestShare(({ limitTokens }) => limitTokens);
  }

  get rows(): LedgerSnapshot {
    return this.snapshot;
  }

  get reserved(): number {
    return this.reservedTokens;
  }

  /** Records demand, also for requests that are then refused. */
  recordDemand(tokens: number, nowMs: number): void {
    this.ownDemand.record(tokens, nowMs);
    this.lastRequestsMs = [...this.lastRequestsMs, nowMs].slice(-SPARSE_REQUESTS);
    this.usualRequestTokens += (tokens - this.usualRequestTokens) * USUAL_REQUEST_WEIGHT;
    this.largestRequestTokens = Math.max(tokens, this.largestRequestTokens * LARGEST_REQUEST_DECAY);
  }

  /** @param silentMs time since the newest record of this router that the store may hold. */
  tryReserve(tokens: number, silentMs: number): boolean {
    if (this.spendableFreeTokens(silentMs) < tokens) {
      return false;
    }
    this.reservedTokens += tokens;
    return true;
  }

  /** Tokens that could be reserved now. */
  spendableFreeTokens(silentMs: number): number {
    return (
      this.lowestShare((share) => spendableTokens(share, silentMs, this.identity.release)) - this.usedTokens
    );
  }

  /** Tokens that this router's requests have asked for in a time like this of late. */
  demandTokens(periodMs: number, nowMs: number): number {
    return (this.ownDemand.perSecond(nowMs) * periodMs) / 1_000;
  }

  /** True if this router's requests are too few for a share of its own. */
  isSparse(horizonMs: number, nowMs: number): boolean {
    const [earliestMs = -Infinity] = this.lastRequestsMs;
    return this.lastRequestsMs.length < SPARSE_REQUESTS || nowMs - earliestMs > horizonMs;
  }

  /** Takes over tokens that another router counts as spent: they offset this router's own spending. */
  receiveLoan(tokens: number): void {
    this.spentTokens -= tokens;
  }

  /** Replaces a reservation by what was spent; the rest is free again. */
  settle(reservedTokens: number, spentTokens: number): void {
    this.reservedTokens -= reservedTokens;
    this.spentTokens += spentTokens;
  }

  /** True if the rows as last read cannot cover the request, whatever other routers return. */
  isExhausted(budgetTokens: number, tokens: number): boolean {
    return this.syncedAtMs !== undefined && budgetTokens - this.snapshot.total.settledTokens < tokens;
  }

  /** The next transaction, or undefined if the rows need not change. */
  plan(input: LedgerPlanInput, options: SharePlanOptions): LedgerChange | undefined {
    const { budgetTokens, neededTokens, leastNeededTokens, routerCount, settlePeriodMs, nowMs } = input;
    const freeTokens = Math.max(0, this.freeTokens);
    const { total } = this.snapshot;
    const fleetDemand = this.fleetDemand.perSecond(nowMs);
    const ownDemand = this.ownDemand.perSecond(nowMs);
    const fleetPrior = budgetTokens * PRIOR_DEMAND_PER_SECOND;
    const delta = planShare(
      {
        freeTokens,
        neededTokens: Math.max(0, neededTokens - freeTokens),
        leastNeededTokens: Math.max(0, leastNeededTokens - freeTokens),
        usualRequestTokens: this.usualRequestTokens,
        largestRequestTokens: this.largestRequestTokens,
        drawsAhead: !(input.awayFromHome && this.isSparse(options.horizonMs, nowMs)),
        demandTokensPerSecond: ownDemand,
        demandPart: (ownDemand + fleetPrior / routerCount) / (Math.max(fleetDemand, ownDemand) + fleetPrior),
        budgetTokens,
        grantedTokens: total.grantedTokens - this.recoverableTokens,
        leftTokens: budgetTokens - total.settledTokens - total.strandedTokens,
        heldTokens: total.grantedTokens - total.settledTokens - total.strandedTokens,
      },
      options,
    );
    const headroomTokens = (ownDemand * options.limitHorizonMs) / 1_000;
    const change = this.changeBy(delta, {
      limitTokens: this.usedTokens + Math.max(headroomTokens, neededTokens),
      releaseTokensPerSecond: ownDemand * options.releaseDemandFactor + this.largestRequestTokens / 2,
    });
    if (!this.isNeeded(change, headroomTokens, neededTokens)) {
      return undefined;
    }
    const own = this.ownShare;
    const mayWait = own !== undefined && this.syncedAtMs !== undefined && this.unanswered.length === 0;
    if (delta !== 0 || !mayWait || nowMs - this.settledAtMs >= settlePeriodMs) {
      return change;
    }
    // All routers change the totals, so each change of them may conflict; a limit concerns only this router's row.
    return this.lacksLimit(own, headroomTokens, neededTokens)
      ? { ...change, total: undefined, share: { ...change.share, settledTokens: own.settledTokens } }
      : undefined;
  }

  /** Returns everything that is not in use; for a router that stops. */
  planReturn(): LedgerChange | undefined {
    const change = this.changeBy(-Math.max(0, this.freeTokens), {
      limitTokens: this.usedTokens,
      releaseTokensPerSecond: 0,
    });
    return this.isNeeded(change, 0, 0) ? change : undefined;
  }

  /** Must be called before the change is sent: a return leaves the share before its outcome is known. */
  recordSent(change: LedgerChange): void {
    this.unanswered.push(change);
  }

  recordOutcome(change: LedgerChange, outcome: LedgerOutcome, nowMs: number): void {
    switch (outcome.kind) {
      case LedgerOutcomeKind.Committed:
        this.adopt(
          {
            totalVersion: change.total === undefined ? change.base.totalVersion : outcome.rowVersion,
            total: change.total ?? change.base.total,
            shareVersion: outcome.rowVersion,
            share: change.share,
          },
          nowMs,
        );
        this.settledAtMs = change.total === undefined ? this.settledAtMs : nowMs;
        return;
      case LedgerOutcomeKind.Conflict:
        this.adopt(outcome.snapshot, nowMs);
        return;
      case LedgerOutcomeKind.Rejected:
        this.unanswered = this.unanswered.filter((sent) => sent !== change);
        return;
      case LedgerOutcomeKind.Unknown:
        return;
    }
  }

  private adopt(snapshot: LedgerSnapshot, nowMs: number): void {
    this.snapshot = snapshot;
    this.unanswered = [];
    this.syncedAtMs = nowMs;
    const settled = snapshot.total.settledTokens;
    this.fleetDemand.record(Math.max(0, settled - (this.settledSeenTokens ?? settled)), nowMs);
    this.settledSeenTokens = settled;
  }

  private get usedTokens(): number {
    return this.spentTokens + this.reservedTokens;
  }

  /** The row of this life; undefined while the row is missing or belongs to an earlier life. */
  private get ownShare(): ShareRecord | undefined {
    const { share } = this.snapshot;
    return share?.incarnationId === this.identity.incarnationId ? share : undefined;
  }

  /** Tokens that an earlier life cannot have spent. */
  private get recoverableTokens(): number {
    const { share } = this.snapshot;
    if (share === undefined || share.incarnationId === this.identity.incarnationId) {
      return 0;
    }
    const { record, endedBeforeStoreMs } = this.identity.previousIncarnation;
    if (record?.incarnationId !== share.incarnationId) {
      return 0;
    }
    const spendable = spendableTokens(share, endedBeforeStoreMs - record.writtenAtStoreMs, record);
    return Math.max(0, share.grantedTokens - Math.max(spendable, share.settledTokens));
  }

  /** The lowest amount among the row and the changes that may replace it; 0 without a row of this life. */
  private lowestShare(amount: (share: ShareRecord) => number): number {
    const own = this.ownShare;
    return this.unanswered.reduce(
      (lowest, { share }) => Math.min(lowest, amount(share)),
      own === undefined ? 0 : amount(own),
    );
  }

  private changeBy(
    deltaTokens: number,
    { limitTokens, releaseTokensPerSecond }: Pick<ShareRecord, 'limitTokens' | 'releaseTokensPerSecond'>,
  ): LedgerChange {
    const { total, share } = this.snapshot;
    const own = this.ownShare;
    const recovered = this.recoverableTokens;
    const stranded =
      own === undefined && share !== undefined ? share.grantedTokens - recovered - share.settledTokens : 0;
    const grantedTokens = (own?.grantedTokens ?? 0) + deltaTokens;
    return {
      base: this.snapshot,
      total: {
        grantedTokens: total.grantedTokens - recovered + deltaTokens,
        settledTokens: total.settledTokens + this.spentTokens - (own?.settledTokens ?? 0),
        strandedTokens: total.strandedTokens + stranded,
      },
      share: {
        incarnationId: this.identity.incarnationId,
        grantedTokens,
        settledTokens: this.spentTokens,
        limitTokens: Math.min(grantedTokens, Math.ceil(limitTokens)),
        releaseTokensPerSecond: Math.ceil(releaseTokensPerSecond),
      },
    };
  }

  /** True if the change moves tokens, reports spending, or raises a limit that is nearly used. */
  private isNeeded(change: LedgerChange, headroomTokens: number, neededTokens: number): boolean {
    const own = this.ownShare;
    if (own === undefined || this.syncedAtMs === undefined || this.unanswered.length > 0) {
      // Only a reply ends the doubt about an unanswered change; until then its lower amounts hold.
      return true;
    }
    const moves =
      change.share.grantedTokens !== own.grantedTokens || change.share.settledTokens !== own.settledTokens;
    const raises = change.share.limitTokens > own.limitTokens;
    return moves || (raises && this.lacksLimit(own, headroomTokens, neededTokens));
  }

  private lacksLimit({ limitTokens }: ShareRecord, headroomTokens: number, neededTokens: number): boolean {
    return limitTokens - this.usedTokens < Math.max(headroomTokens * LIMIT_REFRESH_PART, neededTokens);
  }
}
