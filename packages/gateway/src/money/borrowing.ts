import type { Task } from '@pimentostall/core';
import { Channel, receive, sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import type { LedgerAccount } from './account.ts';
import { isOverdrawn, recordGrant, silentMs, wakeWaiters } from './account.ts';
import { newerSight } from './budgetSight.ts';
import { orderLenders, recordPeerReply } from './lenderOrder.ts';
import type { LoanReply, LoanRequest } from './lending.ts';
import { loanTargetTokens, prefetchTokens } from './loanSize.ts';
import { rememberReceivedLoan } from './returnLoans.ts';
import { ShareRoleKind, shareRole } from './shareRole.ts';

/** Period of its own demand that a router of a small fleet requests in addition to its need. */
const EXTRA_DEMAND_MS = 500;
/** Delay before each attempt to cancel a loan; gives a stalled peer time to respond again. */
const CANCEL_RETRY_DELAY_MS = 500;
/** Attempts to cancel a loan; together they outlast an outage of eight seconds. */
const MAX_CANCEL_ATTEMPTS = 24;
/** Fraction of the need that a single loan must cover; several loans may be combined. */
const MIN_LOAN_FRACTION = 0.25;
/** Time after which the next peer is asked as well: a lender that draws first, and a round trip in its region. */
const NEXT_PEER_MS = 55;
/** Pause of loans in advance after one that was refused. */
const PREFETCH_PAUSE_MS = 1_000;
/** Time for which a borrower draws for its waiting requests after no home router lent to it. */
const OWN_DRAW_MS = 1_000;

/** Tokens that waiting requests lack. */
export interface LoanNeed {
  /** Of all waiting requests together. */
  readonly neededTokens: number;
  /** Of the smallest one. */
  readonly leastNeededTokens: number;
  /** To be borrowed in addition, for the requests of the next seconds. */
  readonly extraTokens: number;
}

/** Returns what the waiting requests lack; undefined if the tokens of this router suffice for the smallest one. */
export function loanNeed(context: GatewayContext, account: LedgerAccount): LoanNeed | undefined {
  const { ledger } = account;
  const nowMs = context.loop.nowMs();
  const waitingTokens = [...account.waiters].map(({ tokens }) => tokens);
  const spendableTokens = Math.max(0, ledger.spendableFreeTokens(silentMs(context, account)));
  const role = shareRole(context, account.organisationName);
  // A loan request also asks for newer totals, without which a borrower cannot use its tokens after a budget cut.
  const asksForTotals = role.kind === ShareRoleKind.Borrower && isOverdrawn(context, account);
  const leastNeededTokens = Math.max(
    Math.min(...waitingTokens) - spendableTokens,
    asksForTotals ? 1 : -Infinity,
  );
  if (waitingTokens.length === 0 || leastNeededTokens <= 0) {
    return undefined;
  }
  switch (role.kind) {
    case ShareRoleKind.Borrower: {
      const sumTokens = waitingTokens.reduce((sum, tokens) => sum + tokens, 0);
      const neededTokens = Math.max(sumTokens - spendableTokens, leastNeededTokens);
      return { neededTokens, leastNeededTokens, extraTokens: loanTarget(account, nowMs) };
    }
    case ShareRoleKind.Home:
    case ShareRoleKind.Independent: {
      // A router with few requests would withhold any extra tokens from the others.
      const isSparse = ledger.isSparse(context.options.sharePlan.horizonMs, nowMs);
      const extraTokens = isSparse ? 0 : ledger.demandTokens(EXTRA_DEMAND_MS, nowMs);
      return { neededTokens: leastNeededTokens, leastNeededTokens, extraTokens };
    }
  }
}

function loanTarget({ ledger }: LedgerAccount, nowMs: number): number {
  return loanTargetTokens({
    demandTokensPerSecond: ledger.demandTokens(1_000, nowMs),
    averageRequestTokens: ledger.averageTokens,
  });
}

/** Borrows for the next seconds without making a request wait, once the tokens of earlier loans run low. */
export function borrowInAdvance(context: GatewayContext, account: LedgerAccount): void {
  const { loop } = context;
  const nowMs = loop.nowMs();
  if (
    account.borrowing ||
    account.waiters.size > 0 ||
    nowMs < account.prefetchPausedUntilMs ||
    context.board.draining ||
    shareRole(context, account.organisationName).kind !== ShareRoleKind.Borrower
  ) {
    return;
  }
  const spendableTokens = Math.max(0, account.ledger.spendableFreeTokens(silentMs(context, account)));
  const extraTokens = prefetchTokens(loanTarget(account, nowMs), spendableTokens);
  if (extraTokens === 0) {
    return;
  }
  account.borrowing = true;
  loop.spawn(
    'borrow in advance',
    (function* () {
      try {
        const need = { neededTokens: 1, leastNeededTokens: 1, extraTokens };
        if (!(yield* borrowTokens(context, account, need, 1))) {
          account.prefetchPausedUntilMs = loop.nowMs() + PREFETCH_PAUSE_MS;
        }
      } finally {
        account.borrowing = false;
        wakeWaiters(context, account);
      }
    })(),
  );
}

/**
 * Borrows tokens from other routers: for a router that lives on loans, and for any router whose share is empty while
 * others hold more than they use, for example in a burst of one organisation or a store outage. The lender records a
 * loan as spent before it replies, so a lost reply never duplicates tokens; the borrower then cancels the loan. A peer
 * that is slow is left behind: the next one is asked, and a late loan is used when it arrives.
 *
 * @returns true if the need is covered
 */
export function* borrowTokens(
  context: GatewayContext,
  account: LedgerAccount,
  need: LoanNeed,
  maxPeers = Infinity,
): Task<boolean> {
  const { loop } = context;
  let missingTokens = need.neededTokens;
  let isDrawable = false;
  for (const peer of orderLenders(context, account.organisationName).slice(0, maxPeers)) {
    const request: LoanRequest = {
      loanId: `${context.self.incarnationId}/${account.organisationName}/${account.nextLoanNumber}`,
      organisationName: account.organisationName,
      leastTokens: Math.max(
        1,
        Math.ceil(Math.min(missingTokens, need.leastNeededTokens) * MIN_LOAN_FRACTION),
      ),
      neededTokens: Math.ceil(missingTokens),
      wantedTokens: Math.ceil(missingTokens + need.extraTokens),
    };
    account.nextLoanNumber += 1;
    const replies = new Channel<LoanReply>();
    loop.spawn('request loan', requestLoan(context, account, peer, request, replies));
    const reply = yield* receive(replies, loop.nowMs() + NEXT_PEER_MS);
    missingTokens -= reply?.tokens ?? 0;
    isDrawable ||= reply?.undrawnTokens !== undefined;
    if (missingTokens <= 0) {
      return true;
    }
  }
  if (!isDrawable) {
    // No home router has tokens or draws them.
    account.drawsUntilMs = loop.nowMs() + OWN_DRAW_MS;
    context.log(LogLevel.Debug, 'no home router lends; drawing for waiting requests', {
      organisation: account.organisationName,
      missingTokens,
    });
    context.metrics.count('pimentostall_loan_rounds_without_lender_total');
  }
  return false;
}

/** Requests one loan. A reply that arrives after the round went on still counts. */
function* requestLoan(
  context: GatewayContext,
  account: LedgerAccount,
  peer: RouterEntry,
  request: LoanRequest,
  replies: Channel<LoanReply>,
): Task<void> {
  const { board, loop, log, metrics, peerPort } = context;
  const reply = yield* loop.settled(peerPort.borrow(peer, request));
  const nowMs = loop.nowMs();
  recordPeerReply(board.silentPeers, peer.routerId, reply !== undefined, nowMs);
  log(LogLevel.Debug, 'loan requested from peer', {
    ...request,
    peer: peer.routerId,
    borrowedTokens: reply?.tokens,
  });
  metrics.count('pimentostall_loans_requested_total', `outcome="${loanOutcome(reply)}"`);
  if (reply === undefined) {
    loop.spawn('cancel loan', cancelLoan(context, peer, request));
    return;
  }
  if (reply.grant !== undefined) {
    recordGrant(context, account, reply.grant);
  }
  account.sight = newerSight(account.sight, reply, nowMs);
  if (reply.tokens > 0) {
    account.ledger.receiveLoan(reply.tokens);
    const { tokens, lenderIncarnationId } = reply;
    if (lenderIncarnationId !== undefined) {
      rememberReceivedLoan(account, { loanId: request.loanId, tokens, lender: peer, lenderIncarnationId });
    }
    wakeWaiters(context, account);
  }
  loop.push(replies, reply);
}

function loanOutcome(reply: LoanReply | undefined): string {
  if (reply === undefined) {
    return 'no-reply';
  }
  return reply.tokens > 0 ? 'given' : 'refused';
}

/** Cancels a loan whose reply was not received. If the peer never confirms, the loan stays recorded as spent there. */
function* cancelLoan(
  { board, loop, log, peerPort }: GatewayContext,
  peer: RouterEntry,
  { loanId, organisationName }: LoanRequest,
): Task<void> {
  for (let tries = 1; tries <= MAX_CANCEL_ATTEMPTS && !board.stopped; tries += 1) {
    yield* sleepUntil(loop.nowMs() + CANCEL_RETRY_DELAY_MS);
    if (yield* loop.settled(peerPort.cancel(peer, { loanId, organisationName }))) {
      return;
    }
  }
  log(LogLevel.Warn, 'failed to cancel a loan without a reply; the peer may count its tokens as spent', {
    loanId,
    organisationName,
    peer: peer.routerId,
  });
}
