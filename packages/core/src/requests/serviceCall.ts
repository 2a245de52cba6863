import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { CoreContext } from '../context.ts';
import type { Reservation } from '../money/types.ts';
import { chooseServiceAddress } from '../routing/chooseServiceAddress.ts';
import { applyNewMembershipList, getOrCreateUpstreamInfo } from '../routing/upstreams.ts';
import type { Task } from '../scheduler/task.ts';
import type { OperationRule, PlainServiceSection } from '../types/configuration.ts';
import { EffectKind } from '../types/effects.ts';
import { RecordState } from '../types/messages.ts';
import type { ServiceCallRequest } from '../types/requests.ts';
import { ABSENT_ROW_VERSION } from '../types/table.ts';
import { RefusalReason, Verdict } from '../types/verdict.ts';
import type { AdmittedRequest } from './admission.ts';
import { resolveClass } from './admission.ts';
import { attachCaller, removeDisconnectedCallers, startResponse } from './callers.ts';
import type { CallOutcome, Claim, ClaimCharge, ClaimRow } from './claim.ts';
import {
  ClaimLookupKind,
  ClaimResultKind,
  ClaimState,
  claimKey,
  lookUpClaim,
  recordOutcome,
  releaseClaim,
  acquireClaim,
} from './claim.ts';
import { identifyRequest, requestKey } from './identity.ts';
import { refuseExchange, refuseRun } from './refusal.ts';
import { emitAnswered } from './requestMetrics.ts';
import { reserveOrRefuse } from './reserveOrRefuse.ts';
import { tryConsumeRetry } from './retryBudget.ts';
import { endRun, findAnswered, queryPeers, recordAnswered, startRun } from './running.ts';
import { runServiceAttempt, ServiceAttemptEndKind } from './serviceAttempt.ts';
import type { RunningRequest } from './types.ts';
import { AttemptState, verdictOf } from './verdict.ts';

interface CallJob {
  readonly run: RunningRequest;
  readonly call: ServiceCallRequest;
  readonly service: PlainServiceSection;
  readonly operation: OperationRule;
  readonly admitted: AdmittedRequest;
}

/** Maximum attempts per call, in addition to the router's retry budget. */
const MAX_ATTEMPTS = 3;

/** Returns the operation with the longest matching path prefix. */
export function findOperation(
  service: PlainServiceSection,
  method: string,
  path: string,
): OperationRule | undefined {
  return service.operations
    .filter((operation) => operation.method === method && path.startsWith(operation.pathPrefix))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
}

/** Serves a call to a plain service. Joins a running call with the same request identifier, or executes it. */
export function* serveServiceCall(
  context: CoreContext,
  admitted: AdmittedRequest,
  call: ServiceCallRequest,
): Task<void> {
  const { exchangeId, metadata, configuration } = admitted;
  const { organisationId } = admitted.organisation;
  const service = configuration.plainServiceById.get(call.serviceId);
  const operation = service === undefined ? undefined : findOperation(service, call.method, call.path);
  if (service === undefined || operation === undefined) {
    refuseExchange(context, { exchangeId, organisationId, reason: RefusalReason.UnknownService });
    return;
  }
  const identity = identifyRequest(context, organisationId, metadata, call);
  const { requestId } = identity;
  const { classId } = operation;
  const running = context.board.requests.running.get(requestKey(organisationId, requestId));
  const existing = running ?? findAnswered(context, organisationId, requestId);
  if (existing !== undefined && existing.bodyHash !== identity.bodyHash) {
    const reason = RefusalReason.IdentityInUse;
    refuseExchange(context, { exchangeId, organisationId, classId, requestId, reason });
    return;
  }
  if (running !== undefined) {
    attachCaller(context, running, exchangeId, false);
    return;
  }
  const classSection = resolveClass(context, configuration, classId);
  if (classCallCount(context, classId) >= classSection.maxQueued) {
    const reason = RefusalReason.QueueFull;
    refuseExchange(context, { exchangeId, organisationId, classId, requestId, reason });
    return;
  }
  const run = startRun(context, admitted, identity, classSection, false);
  try {
    yield* runCall(context, { run, call, service, operation, admitted });
  } finally {
    endRun(context, run);
  }
}

/** Plain services declare no concurrency limit, so the class's queue limit applies to its calls in progress. */
function classCallCount(context: CoreContext, classId: string): number {
  return [...context.board.requests.running.values()].filter((run) => run.classId === classId).length;
}

function needsClaim({ operation, service }: CallJob): boolean {
  return !operation.idempotent && !service.honoursKey;
}

function* runCall(context: CoreContext, job: CallJob): Task<void> {
  const { run, admitted, operation } = job;
  yield* queryPeers(context, run);
  const claim: Claim = {
    key: claimKey(run.organisationId, run.requestId),
    claimantId: context.newId(),
    bodyHash: run.bodyHash,
  };
  const claimVersion =
    needsClaim(job) && run.hasIdempotencyKey
      ? yield* findClaimVersion(context, run, claim)
      : ABSENT_ROW_VERSION;
  if (claimVersion === undefined) {
    return;
  }
  const reservation = yield* reserveOrRefuse(context, run, admitted.metadata, operation.priceMicros);
  if (reservation === undefined) {
    return;
  }
  if (needsClaim(job)) {
    yield* runClaimed(context, job, claim, claimVersion, reservation);
  } else {
    yield* context.board.requests.money.replicateReservation(context, reservation, undefined);
    yield* answerCall(context, job, reservation, yield* attemptCall(context, job, reservation));
  }
}

/**
 * Returns the row version that a new claim must expect, or undefined if the callers have been answered or refused
 * because of an existing claim or an unreachable store.
 */
function* findClaimVersion(
  context: CoreContext,
  run: RunningRequest,
  claim: Claim,
): Task<number | undefined> {
  const lookup = yield* lookUpClaim(context, claim.key);
  switch (lookup.kind) {
    case ClaimLookupKind.Free:
      return lookup.version;
    case ClaimLookupKind.Unreachable:
      refuseRun(context, run, RefusalReason.StoreUnavailable);
      return undefined;
    case ClaimLookupKind.Found:
      yield* answerFromClaim(context, run, lookup.row);
      return undefined;
  }
}

/**
 * Answers from an existing claim, which stands for an earlier dispatch. Replays the recorded outcome; without one,
 * refuses the request because the call may have run.
 */
function* answerFromClaim(context: CoreContext, run: RunningRequest, row: ClaimRow): Task<void> {
  if (row.bodyHash !== run.bodyHash) {
    refuseRun(context, run, RefusalReason.IdentityInUse);
    return;
  }
  if (row.outcome !== null) {
    yield* chargeFromClaim(context, run, row.charge);
    sendOutcome(context, run, row.outcome);
    return;
  }
  const isDone = row.state === ClaimState.Done;
  const state = isDone ? AttemptState.Ran : AttemptState.Sent;
  run.attempts.push({ attemptId: row.claimantId, foreign: true, state });
  refuseRun(context, run, isDone ? RefusalReason.IdentityInUse : RefusalReason.UpstreamFailed);
}

/**
 * Bills a replayed outcome, because the router that ran the call may have crashed after recording the outcome and
 * before billing it. Stops at half of the idempotency window: beyond that, the record that detects duplicate bills
 * may expire, and the call would be charged twice.
 */
function* chargeFromClaim(context: CoreContext, run: RunningRequest, charge: ClaimCharge | null): Task<void> {
  const { clock, options, board } = context;
  if (charge === null || clock.wallMs - charge.atMs > options.idempotencyWindowMs / 2) {
    return;
  }
  yield* board.requests.money.adoptUsage(context, {
    requestId: run.scopedRequestId,
    organisationId: run.organisationId,
    incarnationId: charge.incarnationId,
    state: RecordState.Used,
    amountMicros: charge.amountMicros,
    upstreamAddress: undefined,
  });
}

/** Executes a non-idempotent call under its claim. Releases the claim if the call was never dispatched. */
function* runClaimed(
  context: CoreContext,
  job: CallJob,
  claim: Claim,
  claimVersion: number,
  reservation: Reservation,
): Task<void> {
  const { run } = job;
  const { money } = context.board.requests;
  yield* money.replicateReservation(context, reservation, undefined);
  const result = yield* acquireClaim(context, claim, claimVersion, run.deadlineMs);
  switch (result.kind) {
    case ClaimResultKind.Unreachable:
      money.releaseReservation(context, reservation);
      // A commit without a reply may still have been applied.
      releaseClaim(context, claim);
      refuseRun(context, run, RefusalReason.StoreUnavailable);
      return;
    case ClaimResultKind.Taken:
      money.releaseReservation(context, reservation);
      yield* answerFromClaim(context, run, result.row);
      return;
    case ClaimResultKind.Claimed:
      break;
  }
  const end = yield* attemptCall(context, job, reservation);
  if (end.isOk()) {
    recordOutcome(context, claim, end.value, reservation);
  } else if (ownVerdict(run) === Verdict.DidNotRun) {
    releaseClaim(context, claim);
  }
  yield* answerCall(context, job, reservation, end);
}

/** The service's response, or the reason why there is none. */
type CallEnd = Result<CallOutcome, RefusalReason>;

/** Attempts the call on the service's addresses. Retries only where a second execution is impossible or harmless. */
function* attemptCall(context: CoreContext, job: CallJob, reservation: Reservation): Task<CallEnd> {
  const { run, call, service, operation } = job;
  const excludedAddresses = new Set<string>();
  for (let attemptCount = 1; ; attemptCount += 1) {
    applyNewMembershipList(context);
    const candidates = service.addresses.map((address) => getOrCreateUpstreamInfo(context, address));
    const { monotonicMs } = context.clock;
    const chosen = chooseServiceAddress(candidates, excludedAddresses, monotonicMs, context.random());
    if (chosen === undefined) {
      return err(noAddressReason(run));
    }
    const end = yield* runServiceAttempt(context, run, call, chosen.address, reservation);
    switch (end.kind) {
      case ServiceAttemptEndKind.Answered:
        return ok(end.outcome);
      case ServiceAttemptEndKind.Paused:
        return err(RefusalReason.Paused);
      case ServiceAttemptEndKind.DeadlineExceeded:
        return err(RefusalReason.DeadlineExceeded);
      case ServiceAttemptEndKind.NotSent:
        excludedAddresses.add(chosen.address);
        break;
      case ServiceAttemptEndKind.Lost:
        if (!operation.idempotent && !service.honoursKey) {
          return err(RefusalReason.UpstreamFailed);
        }
        break;
    }
    if (attemptCount >= MAX_ATTEMPTS || !tryConsumeRetry(context.board.requests.retryBudget)) {
      return err(noAddressReason(run));
    }
  }
}

function ownVerdict(run: RunningRequest): Verdict {
  return verdictOf(run.attempts.filter((attempt) => !attempt.foreign));
}

function noAddressReason(run: RunningRequest): RefusalReason {
  return ownVerdict(run) === Verdict.DidNotRun ? RefusalReason.NoUpstream : RefusalReason.UpstreamFailed;
}

/**
 * Bills the call, then answers its callers, so that a crash in between cannot lose the bill. A call whose outcome is
 * unknown is billed as 0.
 */
function* answerCall(context: CoreContext, job: CallJob, reservation: Reservation, end: CallEnd): Task<void> {
  const { run } = job;
  const { money } = context.board.requests;
  if (ownVerdict(run) === Verdict.DidNotRun) {
    money.releaseReservation(context, reservation);
  } else {
    const usedMicros = end.isOk() ? reservation.amountMicros : 0;
    yield* money.completeReservation(context, reservation, usedMicros);
  }
  if (end.isErr()) {
    refuseRun(context, run, end.error);
    return;
  }
  recordAnswered(context, run, '');
  sendOutcome(context, run, end.value);
}

function sendOutcome(context: CoreContext, run: RunningRequest, outcome: CallOutcome): void {
  removeDisconnectedCallers(context, run);
  for (const caller of run.callers.values()) {
    const contentType = outcome.contentType ?? 'application/octet-stream';
    startResponse(context, run, caller, outcome.status, contentType);
    context.emit({ kind: EffectKind.CallerEnd, exchangeId: caller.exchangeId, data: outcome.body });
  }
  emitAnswered(context, run);
}
