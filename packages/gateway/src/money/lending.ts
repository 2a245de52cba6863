import type { Task } from '@pimentostall/core';
import type { RouterView } from '../blackboard.ts';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import type { LedgerAccount } from './ledgerController.ts';
import { reserveTokens, ReserveOutcomeKind, settleTokens, silentMs } from './ledgerController.ts';

export interface LoanRequest {
  readonly organisationName: string;
  /** A loan below this serves no request. */
  readonly leastTokens: number;
  readonly wantedTokens: number;
}

/** Asks other routers for tokens. */
export interface PeerPort {
  /** Tokens that the peer has debited from its share; 0 if it gives none or does not answer in time. */
  borrow(peer: RouterEntry, request: LoanRequest): Promise<number>;
}

/** Peers asked in one round, nearest first: more would take longer than a caller's patience. */
const MAX_PEERS_ASKED = 5;
/** Time of its own demand that a lender keeps back, and that a borrower asks for beyond its need. */
const DEMAND_KEPT_MS = 500;
/** Part of the need that a single loan must cover; several loans may add up. */
const LEAST_LOAN_PART = 0.25;

/**
 * Borrows tokens for waiting requests. Answers load that finds one router's share empty while others hold more than
 * they use: a burst of one organisation, or an outage of the store. The lender counts a loan as spent before it
 * answers, so a lost answer strands tokens but never doubles them.
 */
export function* borrowTokens(
  context: GatewayContext,
  account: LedgerAccount,
  neededTokens: number,
): Task<boolean> {
  const { loop, log, peerPort } = context;
  let missingTokens = neededTokens;
  for (const peer of choosePeers(context)) {
    const request: LoanRequest = {
      organisationName: account.organisationName,
      leastTokens: Math.ceil(missingTokens * LEAST_LOAN_PART),
      wantedTokens: Math.ceil(missingTokens + account.ledger.demandTokens(DEMAND_KEPT_MS, loop.nowMs())),
    };
    const tokens = yield* loop.settled(peerPort.borrow(peer, request));
    log(LogLevel.Debug, 'loan asked for', { ...request, peer: peer.routerId, borrowedTokens: tokens });
    if (tokens > 0) {
      account.ledger.receiveLoan(tokens);
      missingTokens -= tokens;
    }
    if (missingTokens <= 0) {
      return true;
    }
  }
  return false;
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
    mayBorrow: false,
  });
  if (outcome !== ReserveOutcomeKind.Reserved) {
    return 0;
  }
  settleTokens(context, account, tokens, tokens);
  log(LogLevel.Debug, 'loan given', { ...request, lentTokens: tokens });
  return tokens;
}

/** Ready peers in random order, those of the same region first. */
function choosePeers(context: GatewayContext): RouterEntry[] {
  const { board, self, random } = context;
  return [...board.routers.values()]
    .filter(({ entry }: RouterView) => entry.routerId !== self.routerId && entry.ready)
    .map(({ entry }) => ({ entry, rank: (entry.region === self.region ? 0 : 1) + random() }))
    .sort((a, b) => a.rank - b.rank)
    .slice(0, MAX_PEERS_ASKED)
    .map(({ entry }) => entry);
}
