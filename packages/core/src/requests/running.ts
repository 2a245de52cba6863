import type { CoreContext } from '../context.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import type { ClassSection } from '../types/configuration.ts';
import { RecordState } from '../types/messages.ts';
import type { AdmittedRequest } from './admission.ts';
import { attachCaller, releaseCallers } from './callers.ts';
import type { RequestIdentity } from './identity.ts';
import { runningKey } from './identity.ts';
import { creditRequest } from './retryBudget.ts';
import { StreamLog } from './streamLog.ts';
import type { AnsweredRequest, RunningRequest } from './types.ts';
import { AttemptState } from './verdict.ts';

/** Bounds the memory of answered identities; older ones are still recognised by records, claims and bills. */
const MAX_ANSWERED_REQUESTS = 10_000;

/** Registers a request, so that callers with the same identity join it. */
export function startRun(
  context: CoreContext,
  admitted: AdmittedRequest,
  identity: RequestIdentity,
  classSection: ClassSection,
  stream: boolean,
): RunningRequest {
  const { monotonicMs, wallMs } = context.clock;
  const { organisationId } = admitted.organisation;
  const run: RunningRequest = {
    ...identity,
    organisationId,
    classId: classSection.classId,
    classSection,
    startedAtMs: monotonicMs,
    deadlineMs: monotonicMs + classSection.deadlineMs,
    createdSeconds: Math.floor(wallMs / 1000),
    callers: new Map(),
    departures: new Channel(),
    log: new StreamLog(),
    attempts: [],
  };
  context.board.requests.running.set(runningKey(organisationId, identity.requestId), run);
  creditRequest(context.board.requests.retryBudget, context.options.retryBudgetFraction);
  attachCaller(context, run, admitted.exchangeId, stream);
  return run;
}

export function endRun(context: CoreContext, run: RunningRequest): void {
  releaseCallers(context, run);
  context.board.requests.running.delete(runningKey(run.organisationId, run.requestId));
}

/** Remembers an answer, so that a retry with the same identity is neither run nor billed again. */
export function rememberAnswered(context: CoreContext, run: RunningRequest, upstreamAddress: string): void {
  const { answered } = context.board.requests;
  if (!run.hasIdempotencyKey) {
    return;
  }
  const key = runningKey(run.organisationId, run.requestId);
  answered.delete(key);
  answered.set(key, { bodyHash: run.bodyHash, upstreamAddress, answeredAtMs: context.clock.monotonicMs });
  for (const oldest of answered.keys()) {
    if (answered.size <= MAX_ANSWERED_REQUESTS) {
      return;
    }
    answered.delete(oldest);
  }
}

/** What is remembered of an identity, within the idempotency window. */
export function findAnswered(
  context: CoreContext,
  organisationId: string,
  requestId: string,
): AnsweredRequest | undefined {
  const found = context.board.requests.answered.get(runningKey(organisationId, requestId));
  const ageMs = context.clock.monotonicMs - (found?.answeredAtMs ?? 0);
  return ageMs <= context.options.idempotencyWindowMs ? found : undefined;
}

export interface PeerKnowledge {
  /** Engine that holds the stream of this identity. */
  readonly upstreamAddress: string | undefined;
  /** Router that serves this identity now. */
  readonly runningAddress: string | undefined;
}

/** Asks the peers about a caller's own identity; what they know counts as evidence that the request ran. */
export function* learnFromPeers(context: CoreContext, run: RunningRequest): Task<PeerKnowledge> {
  if (!run.hasIdempotencyKey) {
    return { upstreamAddress: undefined, runningAddress: undefined };
  }
  const { money } = context.board.requests;
  const findings = yield* money.findRecords(context, run.organisationId, run.scopedRequestId);
  const records = findings.records.filter((record) => record.organisationId === run.organisationId);
  for (const record of records) {
    const state = record.state === RecordState.Used ? AttemptState.Ran : AttemptState.Sent;
    run.attempts.push({ attemptId: record.incarnationId, foreign: true, state });
  }
  if (findings.runningAddress !== undefined) {
    run.attempts.push({ attemptId: findings.runningAddress, foreign: true, state: AttemptState.Sent });
  }
  const upstreamAddress = records.find((record) => record.upstreamAddress !== undefined)?.upstreamAddress;
  return { upstreamAddress, runningAddress: findings.runningAddress };
}
