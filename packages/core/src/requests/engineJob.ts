import type { CoreContext } from '../context.ts';
import type { Reservation } from '../money/types.ts';
import { EngineChoiceKind, chooseEngine } from '../routing/chooseEngine.ts';
import { prefixHashes } from '../routing/prefixHashes.ts';
import { applyNewMembershipList, getOrCreateUpstreamInfo } from '../routing/upstreams.ts';
import type { Task } from '../scheduler/task.ts';
import type { ChatCompletionRequest, UpstreamRequest } from '../types/requests.ts';
import { UpstreamRequestKind } from '../types/requests.ts';
import { RefusalReason, Verdict } from '../types/verdict.ts';
import { acquireInOrder } from './classQueue.ts';
import { EngineAttemptEnd, runEngineAttempt, cancelExecution } from './engineAttempt.ts';
import type { RelayState } from './relay.ts';
import { tryConsumeRetry } from './retryBudget.ts';
import type { RunningRequest } from './types.ts';
import { AttemptState, verdictOf } from './verdict.ts';

/** Limits the starts of a job, including those after refused connections, which do not count as retries. */
const MAX_STARTS = 4;

/** In practice, further resumes do not complete a stream that has failed more often than this. */
const MAX_RESUMES = 3;

/** A request to be completed by engines, possibly over several attempts. */
export interface EngineJob {
  readonly run: RunningRequest;
  readonly chat: ChatCompletionRequest;
  readonly maxOutputTokens: number;
  /** undefined for the replay of an answer that is already billed. */
  readonly reservation: Reservation | undefined;
  /** Engine that is known to hold the stream, which is resumed there first. */
  readonly resumeAddress: string | undefined;
}

/** How an engine job ended. */
export enum EngineJobEndKind {
  Finished = 'finished',
  Refused = 'refused',
  Abandoned = 'abandoned',
}

export type EngineJobEnd =
  | { readonly kind: EngineJobEndKind.Finished; readonly address: string }
  | { readonly kind: EngineJobEndKind.Refused; readonly reason: RefusalReason }
  | { readonly kind: EngineJobEndKind.Abandoned };

interface EngineJobState {
  readonly job: EngineJob;
  readonly relay: RelayState;
  readonly promptPrefixes: readonly string[];
  readonly excludedAddresses: Set<string>;
  startCount: number;
  retryCount: number;
  resumeCount: number;
}

/** The next step of a job. */
enum StepKind {
  Start = 'start',
  Resume = 'resume',
  End = 'end',
}

type Step =
  | { readonly kind: StepKind.Start }
  | { readonly kind: StepKind.Resume; readonly address: string }
  | { readonly kind: StepKind.End; readonly end: EngineJobEnd };

const START: Step = { kind: StepKind.Start };

function refused(reason: RefusalReason): Step {
  return { kind: StepKind.End, end: { kind: EngineJobEndKind.Refused, reason } };
}

/** Obtains the answer from engines with starts, resumes and at most one retry, until it is complete or fails. */
export function* runEngineJob(context: CoreContext, job: EngineJob): Task<EngineJobEnd> {
  const state: EngineJobState = {
    job,
    relay: { lastChunkAtMs: undefined },
    promptPrefixes: prefixHashes(job.chat.model, job.chat.messages),
    excludedAddresses: new Set(),
    startCount: 0,
    retryCount: 0,
    resumeCount: 0,
  };
  let step: Step =
    job.resumeAddress === undefined ? START : { kind: StepKind.Resume, address: job.resumeAddress };
  for (;;) {
    switch (step.kind) {
      case StepKind.Start:
        step = yield* startOnEngine(context, state);
        break;
      case StepKind.Resume:
        step = yield* resumeOnEngine(context, state, step.address);
        break;
      case StepKind.End:
        return step.end;
    }
  }
}

type EngineSlot = { readonly address: string } | { readonly address: undefined };

/**
 * Chooses an engine and acquires one of its slots. Returns undefined while all are busy, and an undefined address if
 * none can be used.
 */
function tryAcquireEngine(context: CoreContext, state: EngineJobState): EngineSlot | undefined {
  const { board, clock, options } = context;
  const { model } = state.job.chat;
  applyNewMembershipList(context);
  const engines = (board.configuration?.document.engines ?? []).filter(({ models }) =>
    models.includes(model),
  );
  const all = engines.map((engine) => ({ engine, info: getOrCreateUpstreamInfo(context, engine.address) }));
  // An engine without a load report may be shutting down, so it is used only if no engine has a report.
  const reported = all.filter(({ info }) => info.load !== undefined && !info.leaving);
  const choice = chooseEngine({
    candidates: reported.length > 0 ? reported : all,
    region: board.identity.region,
    availabilityZone: board.identity.availabilityZone,
    prefixHashes: state.promptPrefixes,
    excludedAddresses: state.excludedAddresses,
    nowMs: clock.monotonicMs,
    farEngineCostMs: options.farEngineCostMs,
    random: context.random(),
  });
  switch (choice.kind) {
    case EngineChoiceKind.AllBusy:
      return undefined;
    case EngineChoiceKind.NoneUsable:
      return { address: undefined };
    case EngineChoiceKind.Chosen: {
      const { info } = choice.candidate;
      info.ownInFlightCount += 1;
      info.prefixes.add(state.promptPrefixes);
      return { address: info.address };
    }
  }
}

function* startOnEngine(context: CoreContext, state: EngineJobState): Task<Step> {
  const { run, chat, maxOutputTokens } = state.job;
  const acquired = yield* acquireInOrder(context, run, chat.model, () => tryAcquireEngine(context, state));
  if ('refusal' in acquired) {
    return acquired.refusal === undefined
      ? { kind: StepKind.End, end: { kind: EngineJobEndKind.Abandoned } }
      : refused(acquired.refusal);
  }
  const { address } = acquired.value;
  if (address === undefined) {
    return refused(noEngineReason(run));
  }
  state.startCount += 1;
  const { messages, model } = chat;
  const { priority } = run.classSection;
  const requestId = run.scopedRequestId;
  const kind = UpstreamRequestKind.EngineStart;
  const request: UpstreamRequest = { kind, requestId, model, messages, maxOutputTokens, priority };
  const end = yield* attempt(context, state, address, request);
  return nextStep(context, state, address, end);
}

function* resumeOnEngine(context: CoreContext, state: EngineJobState, address: string): Task<Step> {
  const { run } = state.job;
  state.resumeCount += 1;
  getOrCreateUpstreamInfo(context, address).ownInFlightCount += 1;
  const kind = UpstreamRequestKind.EngineResume;
  const request: UpstreamRequest = { kind, requestId: run.scopedRequestId, fromIndex: run.log.nextIndex };
  const end = yield* attempt(context, state, address, request);
  return nextStep(context, state, address, end);
}

function attempt(
  context: CoreContext,
  state: EngineJobState,
  address: string,
  request: UpstreamRequest,
): Task<EngineAttemptEnd> {
  const { run, chat, reservation } = state.job;
  const target = { address, request, model: chat.model, reservation, relay: state.relay };
  return runEngineAttempt(context, run, target);
}

/** Decides the next step after an attempt. */
function nextStep(context: CoreContext, state: EngineJobState, address: string, end: EngineAttemptEnd): Step {
  const { run } = state.job;
  switch (end) {
    case EngineAttemptEnd.Finished:
      return { kind: StepKind.End, end: { kind: EngineJobEndKind.Finished, address } };
    case EngineAttemptEnd.Abandoned:
      return { kind: StepKind.End, end: { kind: EngineJobEndKind.Abandoned } };
    case EngineAttemptEnd.DeadlineExceeded:
      return refused(RefusalReason.DeadlineExceeded);
    case EngineAttemptEnd.Paused:
      return refused(RefusalReason.Paused);
    case EngineAttemptEnd.AlreadyKnown:
      return resumeOrFail(state, address);
    case EngineAttemptEnd.NotSent:
    case EngineAttemptEnd.Refused:
    case EngineAttemptEnd.StreamUnknown:
      return startOnOtherEngine(context, state, address, end);
    case EngineAttemptEnd.Lost:
      return run.log.nextIndex > 0 ? resumeOrFail(state, address) : restartAfterLoss(context, state, address);
  }
}

function resumeOrFail(state: EngineJobState, address: string): Step {
  return state.resumeCount < MAX_RESUMES
    ? { kind: StepKind.Resume, address }
    : refused(RefusalReason.UpstreamFailed);
}

/** The engine is not executing the request, so another one may start it unless text was already relayed. */
function startOnOtherEngine(
  context: CoreContext,
  state: EngineJobState,
  address: string,
  end: EngineAttemptEnd,
): Step {
  const { run, reservation } = state.job;
  state.excludedAddresses.add(address);
  if (run.log.nextIndex > 0) {
    return refused(RefusalReason.UpstreamFailed);
  }
  if (reservation === undefined) {
    // The answer was billed and its stream has expired. Another execution would not be billed.
    return refused(RefusalReason.IdentityInUse);
  }
  // A start does not count as a retry if no earlier attempt reached an engine.
  const reachedNoEngine = end !== EngineAttemptEnd.Refused && !hasSentAttempt(run);
  if (state.startCount >= MAX_STARTS || (!reachedNoEngine && !consumeRequestRetry(context, state))) {
    return refused(noEngineReason(run));
  }
  return START;
}

/** Nothing was received, but the engine may be executing the request, so it is cancelled before another one starts. */
function restartAfterLoss(context: CoreContext, state: EngineJobState, address: string): Step {
  const { run, reservation } = state.job;
  const hasOtherEngine = (context.board.configuration?.document.engines ?? []).some((engine) => {
    const info = getOrCreateUpstreamInfo(context, engine.address);
    const isUsable = !info.leaving && info.ejectedUntilMs <= context.clock.monotonicMs;
    return (
      isUsable &&
      engine.address !== address &&
      !state.excludedAddresses.has(engine.address) &&
      engine.models.includes(state.job.chat.model)
    );
  });
  if (reservation === undefined || !hasOtherEngine || !consumeRequestRetry(context, state)) {
    return resumeOrFail(state, address);
  }
  const lastAttempt = run.attempts.at(-1);
  cancelExecution(context, run, address, lastAttempt?.attemptId ?? '');
  state.excludedAddresses.add(address);
  return START;
}

/** Consumes the request's only retry, and one of the router's retry budget. Returns false if either is used up. */
function consumeRequestRetry(context: CoreContext, state: EngineJobState): boolean {
  if (state.retryCount > 0 || !tryConsumeRetry(context.board.requests.retryBudget)) {
    return false;
  }
  state.retryCount += 1;
  return true;
}

function hasSentAttempt(run: RunningRequest): boolean {
  return run.attempts.some(({ foreign, state }) => !foreign && state === AttemptState.Sent);
}

function noEngineReason(run: RunningRequest): RefusalReason {
  return hasSentAttempt(run) || verdictOf(run.attempts) === Verdict.Ran
    ? RefusalReason.UpstreamFailed
    : RefusalReason.NoUpstream;
}
