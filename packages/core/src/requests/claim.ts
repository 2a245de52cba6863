import type { CoreContext } from '../context.ts';
import { logWarn } from '../log.ts';
import type { Reservation } from '../money/types.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import { commitTransaction, readRows } from '../table/tableCalls.ts';
import type { JsonValue, TableRow } from '../types/table.ts';
import { ABSENT_ROW_VERSION, TableOutcomeKind } from '../types/table.ts';

export enum ClaimState {
  Claimed = 'claimed',
  /** The call did not run. The next request with the same identifier may claim it. */
  Released = 'released',
  Done = 'done',
}

/** The recorded response of a service. */
export interface CallOutcome {
  readonly status: number;
  readonly body: string;
  readonly contentType: string | null;
}

/** The cost of the call and the incarnation whose share pays for it. A router that replays the outcome bills it. */
export interface ClaimCharge {
  readonly incarnationId: string;
  readonly amountMicros: number;
  /** Wall-clock time of the outcome. */
  readonly atMs: number;
}

/** Value of a claim row. */
export interface ClaimRow {
  readonly claimantId: string;
  readonly state: ClaimState;
  readonly bodyHash: string;
  /** null until the call is done, and for a response that is too long to record. */
  readonly outcome: CallOutcome | null;
  /** null until the call is done. */
  readonly charge: ClaimCharge | null;
}

export interface Claim {
  readonly key: string;
  readonly claimantId: string;
  readonly bodyHash: string;
}

/** Commits of a claim while the store does not reply. Each waits for the table timeout. */
const MAX_CLAIM_COMMIT_ATTEMPTS = 3;

/** Longer bodies are not recorded, because claim rows are kept and always read as a whole. */
const MAX_RECORDED_BODY_CHARACTERS = 65_536;

const INITIAL_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 10_000;

export function claimKey(organisationId: string, requestId: string): string {
  return `claim/${encodeURIComponent(organisationId)}/${encodeURIComponent(requestId)}`;
}

function parseClaim(row: TableRow | undefined): ClaimRow | undefined {
  return row === undefined ? undefined : (row.value as unknown as ClaimRow);
}

function claimValue(
  claim: Claim,
  state: ClaimState,
  outcome: CallOutcome | null,
  charge: ClaimCharge | null,
): JsonValue {
  const { claimantId, bodyHash } = claim;
  const row: ClaimRow = { claimantId, bodyHash, state, outcome, charge };
  return structuredClone(row) as unknown as JsonValue;
}

/** Result of reading a claim row. */
export enum ClaimLookupKind {
  Free = 'free',
  Unreachable = 'unreachable',
  Found = 'found',
}

export type ClaimLookup =
  /** No claim is active. `version` is the row version that a new claim must expect. */
  | { readonly kind: ClaimLookupKind.Free; readonly version: number }
  | { readonly kind: ClaimLookupKind.Unreachable }
  | { readonly kind: ClaimLookupKind.Found; readonly row: ClaimRow };

/** Reads the claim row stored under a key. */
export function* lookUpClaim(context: CoreContext, key: string): Task<ClaimLookup> {
  const rows = yield* readRows(context, [key]);
  if (rows === undefined) {
    return { kind: ClaimLookupKind.Unreachable };
  }
  const stored = rows.get(key);
  const row = parseClaim(stored);
  if (row === undefined || row.state === ClaimState.Released) {
    return { kind: ClaimLookupKind.Free, version: stored?.version ?? ABSENT_ROW_VERSION };
  }
  return { kind: ClaimLookupKind.Found, row };
}

/** Result of trying to acquire a claim. */
export enum ClaimResultKind {
  Claimed = 'claimed',
  Unreachable = 'unreachable',
  Taken = 'taken',
}

export type ClaimResult =
  | { readonly kind: ClaimResultKind.Claimed }
  | { readonly kind: ClaimResultKind.Unreachable }
  | { readonly kind: ClaimResultKind.Taken; readonly row: ClaimRow };

/**
 * Writes the claim if there is none. A commit without a reply is retried: if the first one was applied, the retry
 * conflicts with a row that has this claimant's identifier, which proves that the claim is held.
 */
export function* acquireClaim(
  context: CoreContext,
  claim: Claim,
  expectedVersion: number,
  deadlineMs: number,
): Task<ClaimResult> {
  const value = claimValue(claim, ClaimState.Claimed, null, null);
  const transaction = {
    checks: [{ key: claim.key, expectedVersion }],
    writes: [{ key: claim.key, value }],
  };
  for (let commitCount = 0; commitCount < MAX_CLAIM_COMMIT_ATTEMPTS; commitCount += 1) {
    if (context.clock.monotonicMs >= deadlineMs) {
      break;
    }
    const outcome = yield* commitTransaction(context, transaction);
    if (outcome.kind === TableOutcomeKind.Committed) {
      return { kind: ClaimResultKind.Claimed };
    }
    const row = outcome.kind === TableOutcomeKind.Conflict ? parseClaim(outcome.rows[0]) : undefined;
    if (row !== undefined) {
      return row.claimantId === claim.claimantId
        ? { kind: ClaimResultKind.Claimed }
        : { kind: ClaimResultKind.Taken, row };
    }
  }
  return { kind: ClaimResultKind.Unreachable };
}

/** Records the outcome in the background, and retries until the table has confirmed it. */
export function recordOutcome(
  context: CoreContext,
  claim: Claim,
  outcome: CallOutcome,
  reservation: Pick<Reservation, 'incarnationId' | 'amountMicros'>,
): void {
  const recorded = outcome.body.length <= MAX_RECORDED_BODY_CHARACTERS ? outcome : null;
  const { incarnationId, amountMicros } = reservation;
  const charge = { incarnationId, amountMicros, atMs: context.clock.wallMs };
  const value = claimValue(claim, ClaimState.Done, recorded, charge);
  context.spawn('recordOutcome', replaceClaim(context, claim, value));
}

/** Releases the claim of a call that did not run, so that a retry may execute it. */
export function releaseClaim(context: CoreContext, claim: Claim): void {
  const value = claimValue(claim, ClaimState.Released, null, null);
  context.spawn('releaseClaim', replaceClaim(context, claim, value));
}

/**
 * Replaces the row while it holds this claimant's claim. The row is never deleted: its version would restart, and a
 * delayed commit could then overwrite the claim of another request.
 */
function* replaceClaim(context: CoreContext, claim: Claim, value: JsonValue): Task<void> {
  const { key } = claim;
  for (let delayMs = INITIAL_RETRY_DELAY_MS; ; delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS)) {
    const rows = yield* readRows(context, [key]);
    const stored = rows?.get(key);
    if (rows !== undefined && !isOwnClaim(stored, claim)) {
      return;
    }
    if (stored !== undefined) {
      const checks = [{ key, expectedVersion: stored.version }];
      const outcome = yield* commitTransaction(context, { checks, writes: [{ key, value }] });
      if (outcome.kind === TableOutcomeKind.Committed) {
        return;
      }
    }
    logWarn(context, 'The store did not confirm the claim update; retrying after a delay.', { key, delayMs });
    yield* sleepUntil(context.clock.monotonicMs + delayMs);
  }
}

function isOwnClaim(stored: TableRow | undefined, claim: Claim): boolean {
  const row = parseClaim(stored);
  return row?.claimantId === claim.claimantId && row.state === ClaimState.Claimed;
}
