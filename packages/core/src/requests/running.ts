import type { CoreContext } from '../context.ts';
import { Channel } from '../scheduler/channel.ts';
import type { Task } from '../scheduler/task.ts';
import type { ClassSection } from '../types/configuration.ts';
import { RecordState } from '../types/messages.ts';
import type { AdmittedRequest } from './admission.ts';
import { attachCaller, detachCallers } from './callers.ts';
import type { RequestIdentity } from './identity.ts';
import { requestKey } from './identity.ts';
import { creditRequest } from './retryBudget.ts';
import { StreamLog } from './streamLog.ts';
import type { AnsweredRequest, RunningRequest } from './types.ts';
import { AttemptState } from './verdict.ts';

/** Limits the memory for answered requests. Older ones are still recognised by records, claims and bills. */
const MAX_ANSWERED_REQUESTS = 10_000;

/** Registers a request so that callers with the same request identifier can join it. */
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
    disconnects: new Channel(),
    log: new StreamLog(),
    attempts: [],
  };
  context.board.requests.running.set(requestKey(organisationId, identity.requestId), run);
  creditRequest(context.board.requests.retryBudget, context.options.retryBudgetFraction);
  attachCaller(context, run, admitted.exchangeId, stream);
  return run;
}

export function endRun(context: CoreContext, run: RunningRequest): void {
  detachCallers(context, run);
  context.board.requests.running.delete(requestKey(run.organisationId, run.requestId));
}

/** Records that a request was answered, so that a retry is neither executed nor billed again. */
export function recordAnswered(context: CoreContext, run: RunningRequest, upstreamAddress: string): void {
  const { answered } = context.board.requests;
  if (!run.hasIdempotencyKey) {
    return;
  }
  const key = requestKey(run.organisationId, run.requestId);
  answered.delete(key);
  answered.set(key, { bodyHash: run.bodyHash, upstreamAddress, answeredAtMs: context.clock.monotonicMs });
  for (const oldest of answered.keys()) {
    if (answered.size <= MAX_ANSWERED_REQUESTS) {
      return;
    }
    answered.delete(oldest);
  }
}

/** Returns the entry of an answered request if it is within the idempotency window. */
export function findAnswered(
  context: CoreContext,
  organisationId: string,
  requestId: string,
): AnsweredRequest | undefined {
  const found = context.board.requests.answered.get(requestKey(organisationId, requestId));
  const ageMs = context.clock.monotonicMs - (found?.answeredAtMs ?? 0);
  return ageMs <= context.options.idempotencyWindowMs ? found : undefined;
}

export interface PeerLookup {
  /** Engine that holds the stream of this request. */
  readonly upstreamAddress: string | undefined;
  /** Router that is currently serving this request. */
  readonly runningAddress: string | undefined;
}

/** Queries the peers about an Idempotency-Key. What they report counts as evidence that the request ran. */
export function* queryPeers(context: CoreContext, run: RunningRequest): Task<PeerLookup> {
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
