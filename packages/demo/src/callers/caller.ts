import type { RandomSource } from '@pimentostall/core';
import { Verdict } from '@pimentostall/core';
import type { Dispatcher } from 'undici';
import type { CallRecord } from '../auditor/types.ts';
import { CallOutcome } from '../auditor/types.ts';
import type { Deployment } from '../deployment/deployments.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import type { AttemptResult } from './attempt.ts';
import { AttemptKind, sendAttempt } from './attempt.ts';
import type { CallerRequest } from './callerRequest.ts';
import { nextCallerRequest } from './callerRequest.ts';
import type { EntryCache } from './entryCache.ts';

const MAX_ATTEMPTS = 6;
/** Further attempts after a broken one, because its outcome is unknown to the caller. */
const MAX_EXTRA_ATTEMPTS_AFTER_BROKEN = 2;
const FIRST_RETRY_WAIT_MS = 150;
const MAX_RETRY_WAIT_MS = 2_400;
const THINK_TIME_MS = 120;
/** Reason of a refusal that is not retried: further attempts would only add load to the routers. */
const BUDGET_EXHAUSTED_REASON = 'budget-exhausted';
const REFUSAL_WAIT_MS = 400;

export interface Caller {
  readonly name: string;
  readonly deployment: Deployment;
  readonly organisation: DemoOrganisation;
  readonly dispatcher: Dispatcher;
  readonly entry: EntryCache;
  readonly random: RandomSource;
  readonly record: (call: CallRecord) => void;
}

/** Sends requests one after another until `endMs`; a request that is in progress then is completed. */
export async function runCaller(caller: Caller, endMs: number): Promise<void> {
  for (let count = 1; Date.now() < endMs; count += 1) {
    const callerRequest = nextCallerRequest(
      caller.deployment,
      caller.organisation,
      `${caller.name}.${count}`,
      caller.random,
    );
    const call = await completeRequest(caller, callerRequest);
    caller.record(call);
    const isRefused = call.outcome !== CallOutcome.Answered;
    await delay((isRefused ? REFUSAL_WAIT_MS : THINK_TIME_MS) * (0.5 + caller.random()));
  }
}

/** Retries a request with the same key until it gets an answer or a final refusal, up to the attempt limit. */
async function completeRequest(caller: Caller, callerRequest: CallerRequest): Promise<CallRecord> {
  const startedAtMs = Date.now();
  const results: AttemptResult[] = [];
  const failedAddresses: string[] = [];
  while (shouldRetry(results)) {
    if (results.length > 0) {
      caller.entry.invalidate();
      await delay(Math.min(MAX_RETRY_WAIT_MS, FIRST_RETRY_WAIT_MS * 2 ** (results.length - 1)));
    }
    results.push(await tryNextRouter(caller, callerRequest, failedAddresses));
  }
  return {
    organisationId: caller.organisation.organisationId,
    key: callerRequest.key,
    kind: callerRequest.kind,
    worstCaseMicros: callerRequest.worstCaseMicros,
    startedAtMs,
    endedAtMs: Date.now(),
    outcome: outcomeOf(results),
    detail: results.map(describeResult).join('; '),
    attemptCount: results.length,
    brokenCount: results.filter(({ kind }) => kind === AttemptKind.Broken).length,
  };
}

/** Sends an attempt to the first address without a failure, or else to the one with the oldest failure. */
async function tryNextRouter(
  caller: Caller,
  callerRequest: CallerRequest,
  failedAddresses: string[],
): Promise<AttemptResult> {
  const addresses = await caller.entry.addresses(Date.now());
  const byFailure = [...addresses].sort(
    (a, b) => failedAddresses.lastIndexOf(a) - failedAddresses.lastIndexOf(b),
  );
  const address = byFailure[0];
  if (address === undefined) {
    return { kind: AttemptKind.Unreachable, detail: 'no router returned entry addresses' };
  }
  const result = await sendAttempt(caller.dispatcher, address, caller.organisation, callerRequest);
  if (result.kind !== AttemptKind.Answered) {
    failedAddresses.push(address);
  }
  return result;
}

function shouldRetry(results: readonly AttemptResult[]): boolean {
  const last = results.at(-1);
  const limit =
    last?.kind === AttemptKind.Broken ? MAX_ATTEMPTS + MAX_EXTRA_ATTEMPTS_AFTER_BROKEN : MAX_ATTEMPTS;
  return results.length < limit && !isFinal(last);
}

function isFinal(result: AttemptResult | undefined): boolean {
  switch (result?.kind) {
    case AttemptKind.Answered:
    case AttemptKind.WrongAnswer:
      return true;
    case AttemptKind.Refused:
      return result.reason === BUDGET_EXHAUSTED_REASON;
    case AttemptKind.Unreachable:
    case AttemptKind.Broken:
    case undefined:
      return false;
  }
}

/**
 * A request did not run only if every attempt was refused with did-not-run, because any attempt may have run it.
 * Attempts that reached no router are ignored: they do not affect the verdict of the others.
 */
export function outcomeOf(results: readonly AttemptResult[]): CallOutcome {
  const routerResults = results.filter(({ kind }) => kind !== AttemptKind.Unreachable);
  const last = routerResults.at(-1);
  switch (last?.kind) {
    case AttemptKind.Answered:
      return CallOutcome.Answered;
    case AttemptKind.WrongAnswer:
      return CallOutcome.WrongAnswer;
    case AttemptKind.Refused:
      return routerResults.every(
        (result) => result.kind === AttemptKind.Refused && result.verdict === Verdict.DidNotRun,
      )
        ? CallOutcome.RefusedNotRun
        : CallOutcome.RefusedMayHaveRun;
    case AttemptKind.Unreachable:
    case AttemptKind.Broken:
    case undefined:
      return CallOutcome.NoAnswer;
  }
}

function describeResult(result: AttemptResult): string {
  switch (result.kind) {
    case AttemptKind.Refused:
      return `${result.verdict} ${result.reason}`;
    case AttemptKind.WrongAnswer:
    case AttemptKind.Unreachable:
    case AttemptKind.Broken:
      return result.detail;
    case AttemptKind.Answered:
      return 'answered';
  }
}

async function delay(durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs));
}
