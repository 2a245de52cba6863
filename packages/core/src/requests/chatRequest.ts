import type { CoreContext } from '../context.ts';
import type { Reservation } from '../money/types.ts';
import type { Task } from '../scheduler/task.ts';
import type { ModelRule } from '../types/configuration.ts';
import type { ChatCompletionRequest } from '../types/requests.ts';
import { RefusalReason, Verdict } from '../types/verdict.ts';
import type { AdmittedRequest } from './admission.ts';
import { classOf } from './admission.ts';
import { dropDepartedCallers, redirectCallers } from './callers.ts';
import type { EngineWorkEnd } from './engineWork.ts';
import { doEngineWork, WorkEndKind } from './engineWork.ts';
import { identifyRequest, runningKey } from './identity.ts';
import { billMicros, likelyPromptTokens, outputLimit, worstCaseMicros } from './price.ts';
import { refuseExchange, refuseRun } from './refusal.ts';
import { joinStream, sendAnswerEnd } from './relay.ts';
import { reserveOrRefuse } from './reserveOrRefuse.ts';
import type { PeerKnowledge } from './running.ts';
import { endRun, findAnswered, learnFromPeers, rememberAnswered, startRun } from './running.ts';
import type { RunningRequest } from './types.ts';
import { AttemptState, verdictOf } from './verdict.ts';

interface ChatJob {
  readonly run: RunningRequest;
  readonly chat: ChatCompletionRequest;
  readonly rule: ModelRule;
  readonly admitted: AdmittedRequest;
}

/** Serves a model request: joins a running one of the same identity or runs it. */
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
  const running = context.board.requests.running.get(runningKey(organisationId, requestId));
  const answered = findAnswered(context, organisationId, requestId);
  const known = running ?? answered;
  if (known !== undefined && known.bodyHash !== bodyHash) {
    const { classId } = rule;
    const reason = RefusalReason.IdentityInUse;
    refuseExchange(context, { exchangeId, organisationId, classId, requestId, reason });
    return;
  }
  if (running !== undefined) {
    joinStream(context, running, chat.model, exchangeId, chat.stream);
    return;
  }
  const classSection = classOf(context, configuration, rule.classId);
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

/** Sends a billed answer again from the engine that keeps its stream. */
function* replayChat(context: CoreContext, { run, chat }: ChatJob, knownAddress: string): Task<void> {
  const { attempts } = run;
  attempts.push({ attemptId: knownAddress, foreign: true, state: AttemptState.Ran });
  const work = { run, chat, maxOutputTokens: 0, reservation: undefined, knownAddress };
  const end = yield* doEngineWork(context, work);
  switch (end.kind) {
    case WorkEndKind.Finished:
      sendAnswerEnd(context, run, chat.model);
      return;
    case WorkEndKind.Refused:
      refuseRun(context, run, end.reason);
      return;
    case WorkEndKind.Abandoned:
      return;
  }
}

function* runChat(context: CoreContext, job: ChatJob): Task<void> {
  const { run, chat, rule } = job;
  const knowledge = yield* learnFromPeers(context, run);
  if (redirectToRunning(context, job, knowledge)) {
    return;
  }
  const maxOutputTokens = outputLimit(rule, chat.maxOutputTokens);
  const amountMicros = worstCaseMicros(rule, chat.messages, maxOutputTokens);
  const reservation = yield* reserveOrRefuse(context, run, job.admitted.metadata, amountMicros);
  if (reservation === undefined) {
    return;
  }
  const knownAddress = knowledge.upstreamAddress;
  const end = yield* doEngineWork(context, { run, chat, maxOutputTokens, reservation, knownAddress });
  yield* settleRun(context, job, reservation, end);
}

/** A peer that serves the identity now has the stream; the caller gets it there. */
function redirectToRunning(
  context: CoreContext,
  { run, admitted }: ChatJob,
  knowledge: PeerKnowledge,
): boolean {
  const { runningAddress } = knowledge;
  if (runningAddress === undefined || admitted.metadata.redirected) {
    return false;
  }
  redirectCallers(context, run, runningAddress, admitted.metadata.target);
  return true;
}

/** Bills the run and tells the callers its end, in this order. */
function* settleRun(
  context: CoreContext,
  job: ChatJob,
  reservation: Reservation,
  end: EngineWorkEnd,
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
  dropDepartedCallers(context, run);
  switch (end.kind) {
    case WorkEndKind.Finished:
      rememberAnswered(context, run, end.address);
      sendAnswerEnd(context, run, chat.model);
      return;
    case WorkEndKind.Refused:
      refuseRun(context, run, end.reason);
      return;
    case WorkEndKind.Abandoned:
      // Callers that joined after the work was cancelled cannot get the rest.
      if (run.callers.size > 0) {
        refuseRun(context, run, RefusalReason.UpstreamFailed);
      }
      return;
  }
}

/** The engine's counts, or what was received if the engine could not tell them. */
function usageOf({ run, chat }: ChatJob): { promptTokens: number; outputTokens: number } {
  const { finish, nextIndex } = run.log;
  if (finish !== undefined) {
    return finish;
  }
  const promptTokens = nextIndex === 0 ? 0 : likelyPromptTokens(chat.messages);
  return { promptTokens, outputTokens: nextIndex };
}
