import type { CoreContext } from '../context.ts';
import type { Reservation } from '../money/types.ts';
import { EngineChoiceKind, chooseEngine } from '../routing/chooseEngine.ts';
import { prefixHashes } from '../routing/prefixHashes.ts';
import { applyNewMembershipList, getOrCreateUpstreamInfo } from '../routing/upstreams.ts';
import type { Task } from '../scheduler/task.ts';
import type { ChatCompletionRequest, UpstreamRequest } from '../types/requests.ts';
import { UpstreamRequestKind } from '../types/requests.ts';
import { RefusalReason, Verdict } from '../types/verdict.ts';
import { takeInOrder } from './classQueue.ts';
import { AttemptEnd, runEngineAttempt, stopWork } from './engineAttempt.ts';
import type { RelayState } from './relay.ts';
import { takeRetry } from './retryBudget.ts';
import type { RunningRequest } from './types.ts';
import { AttemptState, verdictOf } from './verdict.ts';

/** Connection refusals reach no engine and are tried again elsewhere, but not without end. */
const MAX_STARTS = 4;

/** A stream that breaks more often than this is not completed by further resumes in practice. */
const MAX_RESUMES = 3;

export interface EngineWork {
  readonly run: RunningRequest;
  readonly chat: ChatCompletionRequest;
  readonly maxOutputTokens: number;
  /** undefined for the replay of an answer that is billed already. */
  readonly reservation: Reservation | undefined;
  /** Engine that is known to hold the stream. */
  readonly knownAddress: string | undefined;
}

/** How the work of engines on a request ended. */
export enum WorkEndKind {
  Finished = 'finished',
  Refused = 'refused',
  Abandoned = 'abandoned',
}

export type EngineWorkEnd =
  | { readonly kind: WorkEndKind.Finished; readonly address: string }
  | { readonly kind: WorkEndKind.Refused; readonly reason: RefusalReason }
  | { readonly kind: WorkEndKind.Abandoned };

interface WorkState {
  readonly work: EngineWork;
  readonly relay: RelayState;
  readonly prefixes: readonly string[];
  readonly excluded: Set<string>;
  startCount: number;
  retryCount: number;
  resumeCount: number;
}

/** What follows an attempt. */
enum StepKind {
  Start = 'start',
  Resume = 'resume',
  End = 'end',
}

type Step =
  | { readonly kind: StepKind.Start }
  | { readonly kind: StepKind.Resume; readonly address: string }
  | { readonly kind: StepKind.End; readonly end: EngineWorkEnd };

const START: Step = { kind: StepKind.Start };

function refused(reason: RefusalReason): Step {
  return { kind: StepKind.End, end: { kind: WorkEndKind.Refused, reason } };
}

/** Gets the whole answer from engines: starts, resumes and one retry, until it is complete or cannot be. */
export function* doEngineWork(context: CoreContext, work: EngineWork): Task<EngineWorkEnd> {
  const state: WorkState = {
    work,
    relay: { lastChunkAtMs: undefined },
    prefixes: prefixHashes(work.chat.model, work.chat.messages),
    excluded: new Set(),
    startCount: 0,
    retryCount: 0,
    resumeCount: 0,
  };
  let step: Step =
    work.knownAddress === undefined ? START : { kind: StepKind.Resume, address: work.knownAddress };
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

type Taken = { readonly address: string } | { readonly address: undefined };

/** Chooses an engine and takes one of its slots; undefined while all are busy. */
function tryTakeEngine(context: CoreContext, state: WorkState): Taken | undefined {
  const { board, clock, options } = context;
  const { model } = state.work.chat;
  applyNewMembershipList(context);
  const engines = (board.configuration?.document.engines ?? []).filter(({ models }) =>
    models.includes(model),
  );
  const all = engines.map((engine) => ({ engine, info: getOrCreateUpstreamInfo(context, engine.address) }));
  // An engine without a report may be leaving, so it is used only if there is none with a report.
  const reported = all.filter(({ info }) => info.load !== undefined && !info.leaving);
  const choice = chooseEngine({
    candidates: reported.length > 0 ? reported : all,
    region: board.identity.region,
    availabilityZone: board.identity.availabilityZone,
    prefixHashes: state.prefixes,
    excludedAddresses: state.excluded,
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
      info.prefixes.add(state.prefixes);
      return { address: info.address };
    }
  }
}

function* startOnEngine(context: CoreContext, state: WorkState): Task<Step> {
  const { run, chat, maxOutputTokens } = state.work;
  const taken = yield* takeInOrder(context, run, chat.model, () => tryTakeEngine(context, state));
  if ('refusal' in taken) {
    return taken.refusal === undefined
      ? { kind: StepKind.End, end: { kind: WorkEndKind.Abandoned } }
      : refused(taken.refusal);
  }
  const { address } = taken.value;
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

function* resumeOnEngine(context: CoreContext, state: WorkState, address: string): Task<Step> {
  const { run } = state.work;
  state.resumeCount += 1;
  getOrCreateUpstreamInfo(context, address).ownInFlightCount += 1;
  const kind = UpstreamRequestKind.EngineResume;
  const request: UpstreamRequest = { kind, requestId: run.scopedRequestId, fromIndex: run.log.nextIndex };
  const end = yield* attempt(context, state, address, request);
  return nextStep(context, state, address, end);
}

function attempt(
  context: CoreContext,
  state: WorkState,
  address: string,
  request: UpstreamRequest,
): Task<AttemptEnd> {
  const { run, chat, reservation } = state.work;
  const target = { address, request, model: chat.model, reservation, relay: state.relay };
  return runEngineAttempt(context, run, target);
}

/** Decides what follows the end of an attempt. */
function nextStep(context: CoreContext, state: WorkState, address: string, end: AttemptEnd): Step {
  const { run } = state.work;
  switch (end) {
    case AttemptEnd.Finished:
      return { kind: StepKind.End, end: { kind: WorkEndKind.Finished, address } };
    case AttemptEnd.Abandoned:
      return { kind: StepKind.End, end: { kind: WorkEndKind.Abandoned } };
    case AttemptEnd.DeadlineExceeded:
      return refused(RefusalReason.DeadlineExceeded);
    case AttemptEnd.Paused:
      return refused(RefusalReason.Paused);
    case AttemptEnd.AlreadyKnown:
      return resumeOrGiveUp(state, address);
    case AttemptEnd.NotSent:
    case AttemptEnd.Refused:
    case AttemptEnd.StreamUnknown:
      return startElsewhere(context, state, address, end);
    case AttemptEnd.Lost:
      return run.log.nextIndex > 0
        ? resumeOrGiveUp(state, address)
        : restartAfterLoss(context, state, address);
  }
}

function resumeOrGiveUp(state: WorkState, address: string): Step {
  return state.resumeCount < MAX_RESUMES
    ? { kind: StepKind.Resume, address }
    : refused(RefusalReason.UpstreamFailed);
}

/** The engine certainly does not work on the request: another may start it, if no byte reached the caller. */
function startElsewhere(context: CoreContext, state: WorkState, address: string, end: AttemptEnd): Step {
  const { run, reservation } = state.work;
  state.excluded.add(address);
  if (run.log.nextIndex > 0) {
    return refused(RefusalReason.UpstreamFailed);
  }
  if (reservation === undefined) {
    // The answer was billed, and its stream is no longer kept. Running it again would not be billed.
    return refused(RefusalReason.IdentityInUse);
  }
  // An attempt that reached no engine costs nothing; after one that did, a start is a retry.
  const isFree = end !== AttemptEnd.Refused && !hasSentAttempt(run);
  if (state.startCount >= MAX_STARTS || (!isFree && !mayRetry(context, state))) {
    return refused(noEngineReason(run));
  }
  return START;
}

/** Nothing was received, and the engine may work on the request: its work is stopped before another one starts. */
function restartAfterLoss(context: CoreContext, state: WorkState, address: string): Step {
  const { run, reservation } = state.work;
  const hasOther = (context.board.configuration?.document.engines ?? []).some((engine) => {
    const info = getOrCreateUpstreamInfo(context, engine.address);
    const isUsable = !info.leaving && info.ejectedUntilMs <= context.clock.monotonicMs;
    return (
      isUsable &&
      engine.address !== address &&
      !state.excluded.has(engine.address) &&
      engine.models.includes(state.work.chat.model)
    );
  });
  if (reservation === undefined || !hasOther || !mayRetry(context, state)) {
    return resumeOrGiveUp(state, address);
  }
  const last = run.attempts.at(-1);
  stopWork(context, run, address, last?.attemptId ?? '');
  state.excluded.add(address);
  return START;
}

/** One retry for each request, and only within the retry budget of the router. */
function mayRetry(context: CoreContext, state: WorkState): boolean {
  if (state.retryCount > 0 || !takeRetry(context.board.requests.retryBudget)) {
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
