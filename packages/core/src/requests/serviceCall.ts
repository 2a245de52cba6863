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
import { classOf } from './admission.ts';
import { attachCaller, dropDepartedCallers, startCaller } from './callers.ts';
import type { CallOutcome, Claim, ClaimCharge, ClaimRow } from './claim.ts';
import {
  ClaimLookupKind,
  ClaimResultKind,
  ClaimState,
  claimKey,
  lookUpClaim,
  recordOutcome,
  releaseClaim,
  takeClaim,
} from './claim.ts';
import { identifyRequest, runningKey } from './identity.ts';
import { refuseExchange, refuseRun } from './refusal.ts';
import { emitAnswered } from './requestMetrics.ts';
import { reserveOrRefuse } from './reserveOrRefuse.ts';
import { takeRetry } from './retryBudget.ts';
import { endRun, findAnswered, learnFromPeers, rememberAnswered, startRun } from './running.ts';
import { runServiceAttempt, ServiceAttemptKind } from './serviceAttempt.ts';
import type { RunningRequest } from './types.ts';
import { AttemptState, verdictOf } from './verdict.ts';

interface CallJob {
  readonly run: RunningRequest;
  readonly call: ServiceCallRequest;
  readonly service: PlainServiceSection;
  readonly operation: OperationRule;
  readonly admitted: AdmittedRequest;
}

/** Bounds the attempts of one call, besides the retry budget of the router. */
const MAX_ATTEMPTS = 3;

/** The operation with the longest matching prefix. */
export function findOperation(
  service: PlainServiceSection,
  method: string,
  path: string,
): OperationRule | undefined {
  return service.operations
    .filter((operation) => operation.method === method && path.startsWith(operation.pathPrefix))
    .sort((a, b) => b.pathPrefix.length - a.pathPrefix.length)[0];
}

/** Serves a call of a plain service: joins a running one of the same identity or runs it. */
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
  const running = context.board.requests.running.get(runningKey(organisationId, requestId));
  const known = running ?? findAnswered(context, organisationId, requestId);
  if (known !== undefined && known.bodyHash !== identity.bodyHash) {
    const reason = RefusalReason.IdentityInUse;
    refuseExchange(context, { exchangeId, organisationId, classId, requestId, reason });
    return;
  }
  if (running !== undefined) {
    attachCaller(context, running, exchangeId, false);
    return;
  }
  const classSection = classOf(context, configuration, classId);
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

/** Plain services state no concurrency, so the bound of a class limits the calls that wait for an answer. */
function classCallCount(context: CoreContext, classId: string): number {
  return [...context.board.requests.running.values()].filter((run) => run.classId === classId).length;
}

function needsClaim({ operation, service }: CallJob): boolean {
  return !operation.idempotent && !service.honoursKey;
}

function* runCall(context: CoreContext, job: CallJob): Task<void> {
  const { run, admitted, operation } = job;
  yield* learnFromPeers(context, run);
  const claim: Claim = {
    key: claimKey(run.organisationId, run.requestId),
    claimantId: context.newId(),
    bodyHash: run.bodyHash,
  };
  const freeVersion =
    needsClaim(job) && run.hasIdempotencyKey
      ? yield* findFreeVersion(context, run, claim)
      : ABSENT_ROW_VERSION;
  if (freeVersion === undefined) {
    return;
  }
  const reservation = yield* reserveOrRefuse(context, run, admitted.metadata, operation.priceMicros);
  if (reservation === undefined) {
    return;
  }
  if (needsClaim(job)) {
    yield* runClaimed(context, job, claim, freeVersion, reservation);
  } else {
    yield* context.board.requests.money.replicateReservation(context, reservation, undefined);
    yield* answerCall(context, job, reservation, yield* attemptCall(context, job, reservation));
  }
}

/** The version that a new claim must find; undefined if the callers were answered from an earlier claim. */
function* findFreeVersion(context: CoreContext, run: RunningRequest, claim: Claim): Task<number | undefined> {
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

/** A claim stands for an earlier dispatch: its outcome is repeated, and without one the call may have run. */
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
 * The router that ran the call may have died between the outcome and the bill, so the repeated answer is billed
 * too. Past half of the idempotency window the bill bucket may soon forget the identity and charge it twice.
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

/** Runs a non-idempotent call under its claim; a claim without a dispatch is removed again. */
function* runClaimed(
  context: CoreContext,
  job: CallJob,
  claim: Claim,
  freeVersion: number,
  reservation: Reservation,
): Task<void> {
  const { run } = job;
  const { money } = context.board.requests;
  yield* money.replicateReservation(context, reservation, undefined);
  const result = yield* takeClaim(context, claim, freeVersion, run.deadlineMs);
  switch (result.kind) {
    case ClaimResultKind.Unreachable:
      money.releaseReservation(context, reservation);
      // A commit without an answer may have taken effect.
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

/** The service's answer, or why there is none. */
type CallEnd = Result<CallOutcome, RefusalReason>;

/** Attempts the call on the service's addresses, again only where a second run is impossible or harmless. */
function* attemptCall(context: CoreContext, job: CallJob, reservation: Reservation): Task<CallEnd> {
  const { run, call, service, operation } = job;
  const excluded = new Set<string>();
  for (let attemptCount = 1; ; attemptCount += 1) {
    applyNewMembershipList(context);
    const candidates = service.addresses.map((address) => getOrCreateUpstreamInfo(context, address));
    const { monotonicMs } = context.clock;
    const chosen = chooseServiceAddress(candidates, excluded, monotonicMs, context.random());
    if (chosen === undefined) {
      return err(noAddressReason(run));
    }
    const end = yield* runServiceAttempt(context, run, call, chosen.address, reservation);
    switch (end.kind) {
      case ServiceAttemptKind.Answered:
        return ok(end.outcome);
      case ServiceAttemptKind.Paused:
        return err(RefusalReason.Paused);
      case ServiceAttemptKind.DeadlineExceeded:
        return err(RefusalReason.DeadlineExceeded);
      case ServiceAttemptKind.NotSent:
        excluded.add(chosen.address);
        break;
      case ServiceAttemptKind.Lost:
        if (!operation.idempotent && !service.honoursKey) {
          return err(RefusalReason.UpstreamFailed);
        }
        break;
    }
    if (attemptCount >= MAX_ATTEMPTS || !takeRetry(context.board.requests.retryBudget)) {
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

/** Bills the call and answers its callers, in this order. A call without a known outcome costs nothing. */
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
  rememberAnswered(context, run, '');
  sendOutcome(context, run, end.value);
}

function sendOutcome(context: CoreContext, run: RunningRequest, outcome: CallOutcome): void {
  dropDepartedCallers(context, run);
  for (const caller of run.callers.values()) {
    const contentType = outcome.contentType ?? 'application/octet-stream';
    startCaller(context, run, caller, outcome.status, contentType);
    context.emit({ kind: EffectKind.CallerEnd, exchangeId: caller.exchangeId, data: outcome.body });
  }
  emitAnswered(context, run);
}
