import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import type { RouterView } from '../blackboard.ts';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import { homeRouters } from './homeRouters.ts';
import type { LedgerAccount } from './ledgerController.ts';
import {
  reserveTokens,
  ReserveOutcomeKind,
  settleTokens,
  silentMs,
  wakeWaiters,
} from './ledgerController.ts';

export interface LoanRequest {
  /** Unique over all routers and their lives. */
  readonly loanId: string;
  readonly organisationName: string;
  /** A loan below this serves no request. */
  readonly leastTokens: number;
  readonly wantedTokens: number;
}

/** What takes a loan back whose answer was not heard. */
export type LoanCancellation = Pick<LoanRequest, 'loanId' | 'organisationName'>;

/** Asks other routers for tokens. */
export interface PeerPort {
  /**
   * Tokens that the peer has debited from its share, 0 if it gives none. Undefined if no answer was heard: the loan
   * may have been given, and an answer that still comes is not used.
   */
  borrow(peer: RouterEntry, request: LoanRequest): Promise<number | undefined>;
  /** Takes a loan back. Returns false if the peer did not answer. */
  cancel(peer: RouterEntry, cancellation: LoanCancellation): Promise<boolean>;
}

/** Peers asked in one round, nearest first: more would take longer than a caller's patience. */
const MAX_PEERS_ASKED = 5;
/** Time of its own demand that a lender keeps back, and that a borrower asks for beyond its need. */
const DEMAND_KEPT_MS = 500;
/** Pause between tries to take back a loan: a peer that was held up answers again after it. */
const CANCEL_PAUSE_MS = 500;
/** Such tries: they go on beyond an outage of eight seconds. */
const MAX_CANCEL_TRIES = 24;
/** Loans that a lender remembers, to take them back: more than it gives in the time of these tries. */
const MAX_REMEMBERED_LOANS = 1_024;
/** Part of the need that a single loan must cover; several loans may add up. */
const LEAST_LOAN_PART = 0.25;

/**
 * Borrows tokens for waiting requests. Answers load that finds one router's share empty while others hold more than
 * they use: a burst of one organisation, or an outage of the store. The lender counts a loan as spent before it
 * answers, so a lost answer never doubles tokens; the borrower takes such a loan back.
 */
export function* borrowTokens(
  context: GatewayContext,
  account: LedgerAccount,
  neededTokens: number,
): Task<boolean> {
  const { loop, log, options, peerPort } = context;
  let missingTokens = neededTokens;
  // A router that borrows for each request would only keep what it borrows beyond that from the others.
  const extraTokens = account.ledger.isSparse(options.sharePlan.horizonMs, loop.nowMs())
    ? 0
    : account.ledger.demandTokens(DEMAND_KEPT_MS, loop.nowMs());
  for (const peer of choosePeers(context, account.organisationName)) {
    const request: LoanRequest = {
      loanId: `${context.self.incarnationId}/${account.organisationName}/${account.nextLoanNumber}`,
      organisationName: account.organisationName,
      leastTokens: Math.ceil(missingTokens * LEAST_LOAN_PART),
      wantedTokens: Math.ceil(missingTokens + extraTokens),
    };
    account.nextLoanNumber += 1;
    const tokens = yield* loop.settled(peerPort.borrow(peer, request));
    log(LogLevel.Debug, 'loan asked for', { ...request, peer: peer.routerId, borrowedTokens: tokens });
    if (tokens === undefined) {
      loop.spawn('cancel loan', cancelLoan(context, peer, request));
    } else if (tokens > 0) {
      account.ledger.receiveLoan(tokens);
      missingTokens -= tokens;
    }
    if (missingTokens <= 0) {
      return true;
    }
  }
  return false;
}

/** Takes back a loan whose answer was not heard; tokens of a peer that never answers stay spent. */
function* cancelLoan(
  { board, loop, log, peerPort }: GatewayContext,
  peer: RouterEntry,
  { loanId, organisationName }: LoanRequest,
): Task<void> {
  for (let tries = 1; tries <= MAX_CANCEL_TRIES && !board.stopped; tries += 1) {
    yield* sleepUntil(loop.nowMs() + CANCEL_PAUSE_MS);
    if (yield* loop.settled(peerPort.cancel(peer, { loanId, organisationName }))) {
      return;
    }
  }
  log(LogLevel.Warn, 'loan without an answer not taken back', {
    loanId,
    organisationName,
    peer: peer.routerId,
  });
}

/** Takes back a loan that this router gave, or that it is about to give. */
export function revokeLoan(context: GatewayContext, account: LedgerAccount, loanId: string): void {
  const tokens = account.givenLoans.get(loanId) ?? 0;
  remember(account.givenLoans, loanId, 0);
  if (tokens > 0) {
    account.ledger.receiveLoan(tokens);
    wakeWaiters(context, account);
    context.log(LogLevel.Info, 'loan taken back', {
      loanId,
      organisation: account.organisationName,
      tokens,
    });
  }
}

/** Keeps the newest entries; a loan that was taken back is kept with 0 tokens. */
function remember(loans: Map<string, number>, loanId: string, tokens: number): void {
  loans.delete(loanId);
  loans.set(loanId, tokens);
  for (const oldestId of loans.keys()) {
    if (loans.size <= MAX_REMEMBERED_LOANS) {
      return;
    }
    loans.delete(oldestId);
  }
}

/** Decides on a loan to a peer and debits it from this router's share, drawing for it if the share is short. */
export function* lendTokens(
  context: GatewayContext,
  account: LedgerAccount,
  request: LoanRequest,
): Task<number> {
  const { board, loop, log, options } = context;
  const { ledger } = account;
  const keptTokens = ledger.demandTokens(DEMAND_KEPT_MS, loop.nowMs());
  const lendable = Math.floor(ledger.spendableFreeTokens(silentMs(context, account)) - keptTokens);
  const tokens =
    lendable < request.leastTokens ? request.wantedTokens : Math.min(lendable, request.wantedTokens);
  if (board.returningShares) {
    return 0;
  }
  const outcome = yield* reserveTokens(context, account, tokens, {
    waitUntilMs: loop.nowMs() + options.loanDrawMs,
    forLoan: true,
  });
  if (outcome !== ReserveOutcomeKind.Reserved) {
    return 0;
  }
  if (account.givenLoans.has(request.loanId)) {
    // It was taken back while tokens were drawn for it.
    settleTokens(context, account, tokens, 0);
    return 0;
  }
  settleTokens(context, account, tokens, tokens);
  remember(account.givenLoans, request.loanId, tokens);
  if (homeRouters(context, account.organisationName).includes(context.self.routerId)) {
    // A home draws ahead for what it lends. Only given loans count, so that the money itself bounds the demand.
    ledger.recordDemand(tokens, loop.nowMs());
  }
  log(LogLevel.Debug, 'loan given', { ...request, lentTokens: tokens });
  return tokens;
}

/** Ready peers: the organisation's homes, then the others in random order, those of the same region first. */
function choosePeers(context: GatewayContext, organisationName: string): RouterEntry[] {
  const { board, self, random } = context;
  const homes = homeRouters(context, organisationName);
  return [...board.routers.values()]
    .filter(({ entry }: RouterView) => entry.routerId !== self.routerId && entry.ready)
    .map(({ entry }) => {
      const home = homes.indexOf(entry.routerId);
      return {
        entry,
        rank: home >= 0 ? home - homes.length : (entry.region === self.region ? 0 : 1) + random(),
      };
    })
    .sort((a, b) => a.rank - b.rank)
    .slice(0, MAX_PEERS_ASKED)
    .map(({ entry }) => entry);
}
