import type { RandomSource } from '@pimentostall/core';
import { Verdict } from '@pimentostall/core';
import type { Dispatcher } from 'undici';
import type { CallRecord } from '../auditor/types.ts';
import { CallOutcome } from '../auditor/types.ts';
import type { DemoOrganisation } from '../place/organisations.ts';
import type { Place } from '../place/places.ts';
import type { AttemptResult } from './attempt.ts';
import { AttemptKind, attemptWork } from './attempt.ts';
import type { EntryCache } from './entryCache.ts';
import type { Work } from './work.ts';
import { nextWork } from './work.ts';

const MAX_ATTEMPTS = 6;
/** A caller whose last attempt broke knows nothing yet, so it tries this many times more. */
const MAX_EXTRA_ATTEMPTS = 2;
const FIRST_RETRY_WAIT_MS = 150;
const MAX_RETRY_WAIT_MS = 2_400;
const THINK_MS = 120;
/** A refusal for money needs no quick retry: more attempts would only load the routers. */
const BUDGET_REASON = 'budget-exhausted';
const BUDGET_WAIT_MS = 400;

export interface CallerSetup {
  readonly name: string;
  readonly place: Place;
  readonly organisation: DemoOrganisation;
  readonly dispatcher: Dispatcher;
  readonly entry: EntryCache;
  readonly random: RandomSource;
  readonly record: (call: CallRecord) => void;
}

/** Sends one request after another until the end of traffic; the last one is always finished. */
export async function runCaller(setup: CallerSetup, endMs: number): Promise<void> {
  for (let count = 1; Date.now() < endMs; count += 1) {
    const work = nextWork(setup.place, setup.organisation, `${setup.name}.${count}`, setup.random);
    const call = await complete(setup, work);
    setup.record(call);
    const isRefused = call.outcome !== CallOutcome.Answered;
    await pause((isRefused ? BUDGET_WAIT_MS : THINK_MS) * (0.5 + setup.random()));
  }
}

/** Tries a request with the same key until it has an answer or a final refusal, a bounded number of times. */
async function complete(setup: CallerSetup, work: Work): Promise<CallRecord> {
  const startedAtMs = Date.now();
  const results: AttemptResult[] = [];
  const failedAddresses: string[] = [];
  while (mayTryAgain(results)) {
    if (results.length > 0) {
      setup.entry.forget();
      await pause(Math.min(MAX_RETRY_WAIT_MS, FIRST_RETRY_WAIT_MS * 2 ** (results.length - 1)));
    }
    results.push(await attempt(setup, work, failedAddresses));
  }
  return {
    organisationId: setup.organisation.organisationId,
    key: work.key,
    kind: work.kind,
    worstCaseMicros: work.worstCaseMicros,
    startedAtMs,
    endedAtMs: Date.now(),
    outcome: outcomeOf(results),
    detail: results.map(detailOf).join('; '),
    attemptCount: results.length,
    brokenCount: results.filter(({ kind }) => kind === AttemptKind.Broken).length,
  };
}

/** An attempt goes to the first address that has not failed yet, else to the one whose failure is oldest. */
async function attempt(setup: CallerSetup, work: Work, failedAddresses: string[]): Promise<AttemptResult> {
  const addresses = await setup.entry.addresses(Date.now());
  const byFailure = [...addresses].sort(
    (a, b) => failedAddresses.lastIndexOf(a) - failedAddresses.lastIndexOf(b),
  );
  const address = byFailure[0];
  if (address === undefined) {
    return { kind: AttemptKind.Unreachable, detail: 'no router gives an entry answer' };
  }
  const result = await attemptWork(setup.dispatcher, address, setup.organisation, work);
  if (result.kind !== AttemptKind.Answered) {
    failedAddresses.push(address);
  }
  return result;
}

function mayTryAgain(results: readonly AttemptResult[]): boolean {
  const last = results.at(-1);
  const limit = last?.kind === AttemptKind.Broken ? MAX_ATTEMPTS + MAX_EXTRA_ATTEMPTS : MAX_ATTEMPTS;
  return results.length < limit && !isFinal(last);
}

function isFinal(result: AttemptResult | undefined): boolean {
  switch (result?.kind) {
    case AttemptKind.Answered:
    case AttemptKind.Wrong:
      return true;
    case AttemptKind.Refused:
      return result.reason === BUDGET_REASON;
    case AttemptKind.Unreachable:
    case AttemptKind.Broken:
    case undefined:
      return false;
  }
}

/**
 * "Did not run" holds for the request only if it holds for every attempt: an earlier one may have run. Attempts
 * that reached no router change nothing about the request, so the last verdict stays true.
 */
export function outcomeOf(results: readonly AttemptResult[]): CallOutcome {
  const informative = results.filter(({ kind }) => kind !== AttemptKind.Unreachable);
  const last = informative.at(-1);
  switch (last?.kind) {
    case AttemptKind.Answered:
      return CallOutcome.Answered;
    case AttemptKind.Wrong:
      return CallOutcome.WrongAnswer;
    case AttemptKind.Refused:
      return informative.every(
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

function detailOf(result: AttemptResult): string {
  switch (result.kind) {
    case AttemptKind.Refused:
      return `${result.verdict} ${result.reason}`;
    case AttemptKind.Wrong:
    case AttemptKind.Unreachable:
    case AttemptKind.Broken:
      return result.detail;
    case AttemptKind.Answered:
      return 'answered';
  }
}

async function pause(durationMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, durationMs));
}
