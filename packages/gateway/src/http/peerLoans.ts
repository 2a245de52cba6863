import type { Server, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { Task } from '@pimentostall/core';
import { Agent, request } from 'undici';
import type { GatewayContext } from '../context.ts';
import { openAccount } from '../money/ledgerController.ts';
import type { LoanRequest, PeerPort } from '../money/lending.ts';
import { lendTokens } from '../money/lending.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';

const LOAN_PATH = '/loans';
/** Time for a peer's answer: twice the way between regions and back. */
const LOAN_TIMEOUT_MS = 80;
/** Connections kept to one peer. */
const CONNECTIONS_PER_PEER = 2;
const MAX_LOAN_REQUEST_BYTES = 4_096;

/** Asks peers for loans over HTTP. */
export class PeerConnections implements PeerPort {
  private readonly agent = new Agent({
    connections: CONNECTIONS_PER_PEER,
    connect: { timeout: LOAN_TIMEOUT_MS },
  });

  constructor(private readonly log: GatewayContext['log']) {}

  async borrow(peer: RouterEntry, loan: LoanRequest): Promise<number> {
    try {
      const response = await request(`http://${peer.peerAddress}${LOAN_PATH}`, {
        dispatcher: this.agent,
        method: 'POST',
        body: JSON.stringify(loan),
        signal: AbortSignal.timeout(LOAN_TIMEOUT_MS),
      });
      const answer = (await response.body.json()) as { tokens?: unknown };
      return typeof answer.tokens === 'number' && answer.tokens > 0 ? answer.tokens : 0;
    } catch (cause) {
      // A loan that the peer has made and that is not heard of here stays with the peer as spent.
      this.log(LogLevel.Debug, 'peer did not answer', { peer: peer.routerId, cause: String(cause) });
      return 0;
    }
  }
}

/** Answers peers that ask for loans. */
export function createPeerServer(context: GatewayContext): Server {
  return createServer((message, response) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= MAX_LOAN_REQUEST_BYTES) {
        chunks.push(chunk);
      }
    });
    message.on('end', () => {
      const loan = message.url === LOAN_PATH ? decodeLoan(Buffer.concat(chunks).toString('utf8')) : undefined;
      if (loan === undefined) {
        context.log(LogLevel.Warn, 'request of a peer cannot be read', { url: message.url, sizeBytes });
        response.writeHead(400, { 'Content-Length': 0 });
        response.end();
        return;
      }
      context.loop.spawn('loan', answerLoan(context, loan, response));
    });
  });
}

function* answerLoan(context: GatewayContext, loan: LoanRequest, response: ServerResponse): Task<void> {
  const budgeted = context.board.configuration?.organisations.get(loan.organisationName)?.reservedTokens;
  const tokens =
    budgeted === undefined
      ? 0
      : yield* lendTokens(context, openAccount(context, loan.organisationName), loan);
  const body = JSON.stringify({ tokens });
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
  response.end(body);
}

function decodeLoan(text: string): LoanRequest | undefined {
  let fields: Partial<Record<keyof LoanRequest, unknown>>;
  try {
    fields = JSON.parse(text) as typeof fields;
  } catch {
    // The caller logs what could not be read.
    return undefined;
  }
  const { organisationName, leastTokens, wantedTokens } = fields;
  return typeof organisationName === 'string' && isTokens(leastTokens) && isTokens(wantedTokens)
    ? { organisationName, leastTokens, wantedTokens }
    : undefined;
}

function isTokens(value: unknown): value is number {
  return typeof value === 'number' && Number.isSafeInteger(value) && value > 0;
}
