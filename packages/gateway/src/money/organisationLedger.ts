import { DemandRate } from './demandRate.ts';
import type { SharePlanOptions } from './planShare.ts';
import { planShare } from './planShare.ts';
import type { LedgerChange, LedgerOutcome, LedgerSnapshot } from './types.ts';
import { EMPTY_SNAPSHOT, LedgerOutcomeKind } from './types.ts';

/** Requests after which the largest one is forgotten by half. */
const LARGEST_REQUEST_DECAY = 0.98;

/**
 * Part of a budget that one router is taken to use each second before its demand is known, so that the first
 * router to draw does not take the shares of the others.
 */
const PRIOR_DEMAND_PER_SECOND = 0.002;

export interface LedgerPlanInput {
  /** The organisation's budget in force. */
  readonly budgetTokens: number;
  /** Tokens that waiting requests need beyond what is free. */
  readonly neededTokens: number;
  /** Routers that draw from the budget. */
  readonly routerCount: number;
  readonly nowMs: number;
}

/**
 * One router's share of one organisation's budget. Tokens are spent only from what the store has debited, so the
 * budget holds whatever happens to this process, its clock or its links.
 *
 * After an unanswered change, the rows either hold it or never will once a later change is committed on the same
 * versions. Until a reply shows the rows, a draw counts as not made and a return as made.
 */
export class OrganisationLedger {
  private snapshot: LedgerSnapshot = EMPTY_SNAPSHOT;
  /** Changes without an answer. All have the present snapshot as their base, so at most one can be made. */
  private unanswered: LedgerChange[] = [];
  private spentTokens = 0;
  private reservedTokens = 0;
  private largestRequestTokens = 0;
  private readonly ownDemand: DemandRate;
  private readonly fleetDemand: DemandRate;
  private settledSeenTokens: number | undefined;
  /** Monotonic time at which the rows were last known; undefined before the first reply. */
  syncedAtMs: number | undefined;

  constructor(nowMs: number) {
    this.ownDemand = new DemandRate(nowMs);
    this.fleetDemand = new DemandRate(nowMs);
  }

  get freeTokens(): number {
    return this.usableGrantTokens - this.spentTokens - this.reservedTokens;
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
    this.largestRequestTokens = Math.max(tokens, this.largestRequestTokens * LARGEST_REQUEST_DECAY);
  }

  tryReserve(tokens: number): boolean {
    if (this.freeTokens < tokens) {
      return false;
    }
    this.reservedTokens += tokens;
    return true;
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
  plan(
    { budgetTokens, neededTokens, routerCount, nowMs }: LedgerPlanInput,
    options: SharePlanOptions,
  ): LedgerChange | undefined {
    const { total, share } = this.snapshot;
    const settledDelta = this.spentTokens - share.settledTokens;
    const fleetDemand = this.fleetDemand.perSecond(nowMs);
    const ownDemand = this.ownDemand.perSecond(nowMs);
    const prior = budgetTokens * PRIOR_DEMAND_PER_SECOND;
    const delta = planShare(
      {
        freeTokens: this.freeTokens,
        neededTokens,
        largestRequestTokens: this.largestRequestTokens,
        demandTokensPerSecond: ownDemand,
        demandPart: (ownDemand + prior) / (Math.max(fleetDemand, ownDemand) + prior * routerCount),
        budgetTokens,
        total: {
          grantedTokens: total.grantedTokens,
          settledTokens: total.settledTokens + settledDelta + this.reservedTokens,
        },
      },
      options,
    );
    if (delta === 0 && settledDelta === 0 && this.syncedAtMs !== undefined) {
      return undefined;
    }
    return this.changeBy(delta, settledDelta);
  }

  /** Returns everything that is not reserved; used when the router stops. */
  planReturn(): LedgerChange | undefined {
    const settledDelta = this.spentTokens - this.snapshot.share.settledTokens;
    const free = Math.max(0, this.freeTokens);
    return free === 0 && settledDelta === 0 ? undefined : this.changeBy(-free, settledDelta);
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
            totalVersion: outcome.rowVersion,
            total: change.total,
            shareVersion: outcome.rowVersion,
            share: change.share,
          },
          nowMs,
        );
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

  private get usableGrantTokens(): number {
    return this.unanswered.reduce(
      (lowest, { share }) => Math.min(lowest, share.grantedTokens),
      this.snapshot.share.grantedTokens,
    );
  }

  private changeBy(deltaTokens: number, settledDeltaTokens: number): LedgerChange {
    const { total, share } = this.snapshot;
    return {
      base: this.snapshot,
      total: {
        grantedTokens: total.grantedTokens + deltaTokens,
        settledTokens: total.settledTokens + settledDeltaTokens,
      },
      share: {
        grantedTokens: share.grantedTokens + deltaTokens,
        settledTokens: share.settledTokens + settledDeltaTokens,
      },
    };
  }
}
