import type { CoreContext } from '../context.ts';
import type { Reservation } from '../money/types.ts';
import type { Task } from '../scheduler/task.ts';
import type { ModelRule } from '../types/configuration.ts';
import type { ChatCompletionRequest } from '../types/requests.ts';
import { RefusalReason, Verdict } from '../types/verdict.ts';
import type { AdmittedRequest } from './admission.ts';
import { resolveClass } from './admission.ts';
import { removeDisconnectedCallers, redirectCallers } from './callers.ts';
import type { EngineJobEnd } from './engineJob.ts';
import { runEngineJob, EngineJobEndKind } from './engineJob.ts';
import { identifyRequest, requestKey } from './identity.ts';
import { billMicros, estimatePromptTokens, outputLimit, worstCaseMicros } from './price.ts';
import { refuseExchange, refuseRun } from './refusal.ts';
import { joinStream, sendAnswerEnd } from './relay.ts';
import { reserveOrRefuse } from './reserveOrRefuse.ts';
import type { PeerLookup } from './running.ts';
import { endRun, findAnswered, queryPeers, recordAnswered, startRun } from './running.ts';
import type { RunningRequest } from './types.ts';
import { AttemptState, verdictOf } from './verdict.ts';

interface ChatJob {
  readonly run: RunningRequest;
  readonly chat: ChatCompletionRequest;
  readonly rule: ModelRule;
  readonly admitted: AdmittedRequest;
}

/** Serves a chat completion. Joins a running request with the same identifier, or executes it. */
export function* serveChat(
  context: CoreContext,
  admitted: AdmittedRequest,
  chat: ChatCompletionRequest,
): Task<void> {
  const { exchangeId, metadata, configuration } = admitted;
  const { organisationId } = admitted.organisation;
  const rule = configuration.ruleByModel.get(chat.model);
  if (rule === undefined) {
    refuseExchange(context, { exchangeId, organisationId, reason: RefusalReason.UnknownService });
    return;
  }
  const identity = identifyRequest(context, organisationId, metadata, chat);
  const { requestId, bodyHash } = identity;
  const running = context.board.requests.running.get(requestKey(organisationId, requestId));
  const answered = findAnswered(context, organisationId, requestId);
  const existing = running ?? answered;
  if (existing !== undefined && existing.bodyHash !== bodyHash) {
    const { classId } = rule;
    const reason = RefusalReason.IdentityInUse;
    refuseExchange(context, { exchangeId, organisationId, classId, requestId, reason });
    return;
  }
  if (running !== undefined) {
    joinStream(context, running, chat.model, exchangeId, chat.stream);
    return;
  }
  const classSection = resolveClass(context, configuration, rule.classId);
  const run = startRun(context, admitted, identity, classSection, chat.stream);
  try {
    const job: ChatJob = { run, chat, rule, admitted };
    yield* answered === undefined
      ? runChat(context, job)
      : replayChat(context, job, answered.upstreamAddress);
  } finally {
    endRun(context, run);
  }
}

/** Replays an answer that is already billed from the engine that holds its stream. */
function* replayChat(context: CoreContext, { run, chat }: ChatJob, resumeAddress: string): Task<void> {
  const { attempts } = run;
  attempts.push({ attemptId: resumeAddress, foreign: true, state: AttemptState.Ran });
  const engineJob = { run, chat, maxOutputTokens: 0, reservation: undefined, resumeAddress };
  const end = yield* runEngineJob(context, engineJob);
  switch (end.kind) {
    case EngineJobEndKind.Finished:
      sendAnswerEnd(context, run, chat.model);
      return;
    case EngineJobEndKind.Refused:
      refuseRun(context, run, end.reason);
      return;
    case EngineJobEndKind.Abandoned:
      return;
  }
}

function* runChat(context: CoreContext, job: ChatJob): Task<void> {
  const { run, chat, rule } = job;
  const peerLookup = yield* queryPeers(context, run);
  if (redirectToRunning(context, job, peerLookup)) {
    return;
  }
  const maxOutputTokens = outputLimit(rule, chat.maxOutputTokens);
  const amountMicros = worstCaseMicros(rule, chat.messages, maxOutputTokens);
  const reservation = yield* reserveOrRefuse(context, run, job.admitted.metadata, amountMicros);
  if (reservation === undefined) {
    return;
  }
  const resumeAddress = peerLookup.upstreamAddress;
  const end = yield* runEngineJob(context, {
    run,
    chat,
    maxOutputTokens,
    reservation,
    resumeAddress,
  });
  yield* settleRun(context, job, reservation, end);
}

/** Redirects the callers to the peer that is serving the same request, because it has the stream. */
function redirectToRunning(
  context: CoreContext,
  { run, admitted }: ChatJob,
  peerLookup: PeerLookup,
): boolean {
  const { runningAddress } = peerLookup;
  if (runningAddress === undefined || admitted.metadata.redirected) {
    return false;
  }
  redirectCallers(context, run, runningAddress, admitted.metadata.target);
  return true;
}

/** Bills the request, then ends the responses of its callers, so that a crash in between cannot lose the bill. */
function* settleRun(
  context: CoreContext,
  job: ChatJob,
  reservation: Reservation,
  end: EngineJobEnd,
): Task<void> {
  const { run, chat, rule } = job;
  const { money } = context.board.requests;
  const ownAttempts = run.attempts.filter((attempt) => !attempt.foreign);
  if (verdictOf(ownAttempts) === Verdict.DidNotRun) {
    money.releaseReservation(context, reservation);
  } else {
    const usedMicros = billMicros(rule, usageOf(job), reservation.amountMicros);
    yield* money.completeReservation(context, reservation, usedMicros);
  }
  removeDisconnectedCallers(context, run);
  switch (end.kind) {
    case EngineJobEndKind.Finished:
      recordAnswered(context, run, end.address);
      sendAnswerEnd(context, run, chat.model);
      return;
    case EngineJobEndKind.Refused:
      refuseRun(context, run, end.reason);
      return;
    case EngineJobEndKind.Abandoned:
      // Callers that joined after the cancellation cannot get the rest of the answer.
      if (run.callers.size > 0) {
        refuseRun(context, run, RefusalReason.UpstreamFailed);
      }
      return;
  }
}

/** Returns the token counts of the engine, or an estimate from the received chunks if it sent none. */
function usageOf({ run, chat }: ChatJob): { promptTokens: number; outputTokens: number } {
  const { finish, nextIndex } = run.log;
  if (finish !== undefined) {
    return finish;
  }
  const promptTokens = nextIndex === 0 ? 0 : estimatePromptTokens(chat.messages);
  return { promptTokens, outputTokens: nextIndex };
}
