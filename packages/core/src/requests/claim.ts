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
  /** The call certainly did not run; the next arrival may claim it. */
  Released = 'released',
  Done = 'done',
}

/** The recorded answer of a service. */
export interface CallOutcome {
  readonly status: number;
  readonly body: string;
  readonly contentType: string | null;
}

/** What the call costs and whose share pays, so that whoever repeats the answer can have it billed. */
export interface ClaimCharge {
  readonly incarnationId: string;
  readonly amountMicros: number;
  /** Wall-clock time of the outcome. */
  readonly atMs: number;
}

/** Content of a claim row. */
export interface ClaimRow {
  readonly claimantId: string;
  readonly state: ClaimState;
  readonly bodyHash: string;
  /** null until the call is done, and for an answer that is too long to record. */
  readonly outcome: CallOutcome | null;
  /** null until the call is done. */
  readonly charge: ClaimCharge | null;
}

export interface Claim {
  readonly key: string;
  readonly claimantId: string;
  readonly bodyHash: string;
}

/** Repeats of a claim whose answer was lost; each waits for the table's timeout. */
const MAX_CLAIM_COMMITS = 3;

/** Longer bodies are not recorded, because claim rows are kept and read whole. */
const MAX_RECORDED_CHARACTERS = 65_536;

const FIRST_RETRY_DELAY_MS = 500;
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

/** What a look at a claim row found. */
export enum ClaimLookupKind {
  Free = 'free',
  Unreachable = 'unreachable',
  Found = 'found',
}

export type ClaimLookup =
  /** No claim holds; `version` is what a new claim must find. */
  | { readonly kind: ClaimLookupKind.Free; readonly version: number }
  | { readonly kind: ClaimLookupKind.Unreachable }
  | { readonly kind: ClaimLookupKind.Found; readonly row: ClaimRow };

/** Reads the claim of an identity. */
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

/** How an attempt to take a claim ended. */
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
 * Writes the claim if there is none. A commit without an answer is repeated: if the first one took effect, the
 * repeat conflicts with a row that carries this claimant, which proves that the claim is held.
 */
export function* takeClaim(
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
  for (let commitCount = 0; commitCount < MAX_CLAIM_COMMITS; commitCount += 1) {
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

/** Records the outcome, in the background until the table has it. */
export function recordOutcome(
  context: CoreContext,
  claim: Claim,
  outcome: CallOutcome,
  reservation: Pick<Reservation, 'incarnationId' | 'amountMicros'>,
): void {
  const recorded = outcome.body.length <= MAX_RECORDED_CHARACTERS ? outcome : null;
  const { incarnationId, amountMicros } = reservation;
  const charge = { incarnationId, amountMicros, atMs: context.clock.wallMs };
  const value = claimValue(claim, ClaimState.Done, recorded, charge);
  context.spawn('recordOutcome', replaceClaim(context, claim, value));
}

/** Gives up the claim of a call that certainly did not run, so that a retry may run it. */
export function releaseClaim(context: CoreContext, claim: Claim): void {
  const value = claimValue(claim, ClaimState.Released, null, null);
  context.spawn('releaseClaim', replaceClaim(context, claim, value));
}

/**
 * Replaces the row while it is this claimant's claim. The row is never deleted: its version would start again, and
 * a delayed commit could then replace the claim of another arrival.
 */
function* replaceClaim(context: CoreContext, claim: Claim, value: JsonValue): Task<void> {
  const { key } = claim;
  for (let delayMs = FIRST_RETRY_DELAY_MS; ; delayMs = Math.min(2 * delayMs, MAX_RETRY_DELAY_MS)) {
    const rows = yield* readRows(context, [key]);
    const stored = rows?.get(key);
    if (rows !== undefined && !isHeld(stored, claim)) {
      return;
    }
    if (stored !== undefined) {
      const checks = [{ key, expectedVersion: stored.version }];
      const outcome = yield* commitTransaction(context, { checks, writes: [{ key, value }] });
      if (outcome.kind === TableOutcomeKind.Committed) {
        return;
      }
    }
    logWarn(context, 'The store did not confirm a change of a claim; it is repeated.', { key, delayMs });
    yield* sleepUntil(context.clock.monotonicMs + delayMs);
  }
}

function isHeld(stored: TableRow | undefined, claim: Claim): boolean {
  const row = parseClaim(stored);
  return row?.claimantId === claim.claimantId && row.state === ClaimState.Claimed;
}
