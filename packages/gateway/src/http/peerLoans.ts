import type { ServerResponse } from 'node:http';
import type { Task } from '@pimentostall/core';
import { Agent } from 'undici';
import type { GatewayContext } from '../context.ts';
import { openAccount } from '../money/ledgerController.ts';
import type { KnownGrant } from '../money/knownGrant.ts';
import type { LoanCancellation, LoanReply, LoanRequest, LoanReturn, PeerPort } from '../money/lending.ts';
import { acceptLoanReturn, lendTokens, revokeLoan } from '../money/lending.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import { fetchText } from './fetchResponse.ts';
import { ProgressTimeout } from './progressTimeout.ts';

const LOAN_PATH = '/loans';
const CANCEL_PATH = '/loans/cancel';
const RETURN_PATH = '/loans/return';
/** Timeout for a loan: twice the sum of a round trip between regions and a draw from the store. */
const LOAN_TIMEOUT_MS = 120;
/** Timeout for a cancellation or a return; no request waits for it. */
const CANCEL_TIMEOUT_MS = 1_000;
/** Maximum number of connections to one peer. */
const CONNECTIONS_PER_PEER = 2;

/** HTTP client that requests token loans from peers. */
export class PeerConnections implements PeerPort {
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    connect: { timeout: LOAN_TIMEOUT_MS },
  });

  /** Apart from the connections for loans, which must not wait for cancellations at a peer that does not reply. */
  private readonly cancelAgent = new Agent({ connections: 1, connect: { timeout: CANCEL_TIMEOUT_MS } });

  constructor(private readonly log: GatewayContext['log']) {}

  async borrow(peer: RouterEntry, loan: LoanRequest): Promise<LoanReply | undefined> {
    const reply = (await this.post(this.agent, peer, LOAN_PATH, loan, LOAN_TIMEOUT_MS)) as
      Partial<Record<keyof LoanReply, unknown>> | undefined;
    if (reply === undefined) {
      return undefined;
    }
    // Routers of an older build reply with `tokens` alone.
    return {
      tokens: isPositiveTokenCount(reply.tokens) ? reply.tokens : 0,
      lenderIncarnationId:
        typeof reply.lenderIncarnationId === 'string' ? reply.lenderIncarnationId : undefined,
      undrawnTokens: decodeAmount(reply.undrawnTokens),
      heldTokens: decodeAmount(reply.heldTokens) ?? 0,
      remainingTokens: decodeAmount(reply.remainingTokens),
      outstandingTokens: decodeAmount(reply.outstandingTokens) ?? 0,
      grant: decodeGrant(reply.grant),
    };
  }

  async cancel(peer: RouterEntry, cancellation: LoanCancellation): Promise<boolean> {
    const reply = await this.post(this.cancelAgent, peer, CANCEL_PATH, cancellation, CANCEL_TIMEOUT_MS);
    return reply !== undefined;
  }

  async returnLoan(peer: RouterEntry, loanReturn: LoanReturn): Promise<boolean> {
    const reply = await this.post(this.cancelAgent, peer, RETURN_PATH, loanReturn, CANCEL_TIMEOUT_MS);
    return reply !== undefined;
  }

  /** Returns the parsed body of the response, or undefined if there is none. */
  private async post(
    dispatcher: Agent,
    peer: RouterEntry,
    path: string,
    body: object,
    timeoutMs: number,
  ): Promise<unknown> {
    const timeout = new ProgressTimeout({
      firstByteMs: timeoutMs,
      stallMs: timeoutMs,
      limitMs: timeoutMs,
    });
    try {
      const { text } = await fetchText(
        dispatcher,
        { origin: `http://${peer.peerAddress}`, method: 'POST', path, body: JSON.stringify(body) },
        timeout,
      );
      return (JSON.parse(text) as unknown) ?? undefined;
    } catch (cause) {
      this.log(LogLevel.Debug, 'failed to get a valid response from peer', {
        peer: peer.routerId,
        path,
        cause: String(cause),
      });
      return undefined;
    } finally {
      timeout.clear();
    }
  }
}

/** Answers a loan request, a cancellation or a return of a peer. Returns false if the call is none of them. */
export function answerLoanCall(
  context: GatewayContext,
  path: string,
  text: string,
  response: ServerResponse,
): boolean {
  const loan = path === LOAN_PATH ? decodeLoan(text) : undefined;
  const cancellation = path === CANCEL_PATH ? decodeCancellation(text) : undefined;
  const loanReturn = path === RETURN_PATH ? decodeReturn(text) : undefined;
  if (loan !== undefined) {
    context.loop.spawn('loan', handleLoanRequest(context, loan, response));
  } else if (cancellation !== undefined) {
    if (isBudgeted(context, cancellation.organisationName)) {
      // The loan request may arrive after its cancellation, also as the first call for this organisation.
      revokeLoan(context, openAccount(context, cancellation.organisationName), cancellation.loanId);
    }
    sendJson(response, {});
  } else if (loanReturn !== undefined) {
    if (isBudgeted(context, loanReturn.organisationName)) {
      acceptLoanReturn(context, openAccount(context, loanReturn.organisationName), loanReturn);
    }
    sendJson(response, {});
  }
  return loan !== undefined || cancellation !== undefined || loanReturn !== undefined;
}

function* handleLoanRequest(
  context: GatewayContext,
  loan: LoanRequest,
  response: ServerResponse,
): Task<void> {
  const reply: LoanReply = isBudgeted(context, loan.organisationName)
    ? yield* lendTokens(context, openAccount(context, loan.organisationName), loan)
    : {
        tokens: 0,
        lenderIncarnationId: undefined,
        undrawnTokens: undefined,
        heldTokens: 0,
        remainingTokens: undefined,
        outstandingTokens: 0,
        grant: undefined,
      };
  sendJson(response, reply);
}

function isBudgeted({ board }: GatewayContext, organisationName: string): boolean {
  return board.configuration?.organisations.get(organisationName)?.tokenBudget !== undefined;
}

function sendJson(response: ServerResponse, payload: object): void {
  const body = JSON.stringify(payload);
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
  response.end(body);
}

type LoanFields = Partial<Record<keyof LoanRequest | keyof LoanReturn, unknown>>;

/** Returns no fields for text that is not a JSON object; the decoders then fail, and the server logs the request. */
function parseLoanFields(text: string): LoanFields {
  try {
    const fields: unknown = JSON.parse(text);
    return typeof fields === 'object' && fields !== null ? fields : {};
  } catch {
    return {};
  }
}

function decodeLoan(text: string): LoanRequest | undefined {
  const cancellation = decodeCancellation(text);
  const { leastTokens, neededTokens, wantedTokens } = parseLoanFields(text);
  if (
    cancellation === undefined ||
    !isPositiveTokenCount(leastTokens) ||
    !isPositiveTokenCount(wantedTokens)
  ) {
    return undefined;
  }
  // Routers of an older build do not tell what they need.
  const isNeedKnown = isPositiveTokenCount(neededTokens) && neededTokens <= wantedTokens;
  return {
    ...cancellation,
    leastTokens,
    neededTokens: isNeedKnown ? neededTokens : wantedTokens,
    wantedTokens,
  };
}

function decodeCancellation(text: string): LoanCancellation | undefined {
  const { loanId, organisationName } = parseLoanFields(text);
  return typeof loanId === 'string' && typeof organisationName === 'string'
    ? { loanId, organisationName }
    : undefined;
}

function decodeReturn(text: string): LoanReturn | undefined {
  const cancellation = decodeCancellation(text);
  const { lenderIncarnationId, tokens } = parseLoanFields(text);
  return cancellation !== undefined && typeof lenderIncarnationId === 'string' && isPositiveTokenCount(tokens)
    ? { ...cancellation, lenderIncarnationId, tokens }
    : undefined;
}

/** Returns undefined if an amount is missing. */
function decodeGrant(value: unknown): KnownGrant | undefined {
  const fields = (value ?? {}) as Partial<Record<keyof KnownGrant, unknown>>;
  const totalVersion = decodeAmount(fields.totalVersion);
  const grantedTokens = decodeAmount(fields.grantedTokens);
  const budgetTokens = decodeAmount(fields.budgetTokens);
  return totalVersion === undefined || grantedTokens === undefined || budgetTokens === undefined
    ? undefined
    : { totalVersion, grantedTokens, budgetTokens };
}

/** Returns undefined for anything but a finite amount that is not negative. */
function decodeAmount(value: unknown): number | undefined {
  return typeof value === 'number' && Number.isFinite(value) && value >= 0 ? value : undefined;
}

function isPositiveTokenCount(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value > 0;
}
