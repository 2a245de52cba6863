import { Verdict } from '@pimentostall/core';
import type { Call } from '../caller.ts';
import { CallKind, CallState } from '../caller.ts';
import { answerText, outputTokensOf } from '../fakes/fakeEngine.ts';
import { MAX_OUTPUT_TOKENS } from '../fleet.ts';
import { PromiseName } from '../types.ts';
import type { Simulation } from '../simulation.ts';

/** Request id that upstreams receive, unique across organisations. */
export function scopedRequestId(call: Call): string {
  return `${call.organisationId}:${call.key}`;
}

/** Checks that every answered call received exactly the complete answer to its own request. */
export function checkAnswers(simulation: Simulation, calls: readonly Call[]): void {
  for (const call of calls) {
    if (call.state === CallState.Answered) {
      checkAnswer(simulation, call);
    }
    if (call.state === CallState.Open) {
      simulation.reportViolation(PromiseName.WholeOwnAnswer, `${call.key} was neither answered nor refused`);
    }
  }
}

function checkAnswer(simulation: Simulation, call: Call): void {
  if (call.kind === CallKind.Order) {
    const expected = JSON.stringify({ key: scopedRequestId(call) });
    if (call.body !== expected) {
      simulation.reportViolation(PromiseName.WholeOwnAnswer, `${call.key} got the answer ${call.body}`);
    }
    return;
  }
  const id = scopedRequestId(call);
  const expected = answerText(id, outputTokensOf(id, MAX_OUTPUT_TOKENS));
  if (call.text !== expected) {
    simulation.reportViolation(
      PromiseName.WholeOwnAnswer,
      `${call.key} got "${call.text}" instead of "${expected}"`,
    );
  }
}

/** Checks that no non-idempotent call was executed twice, however often and wherever it was sent. */
export function checkAtMostOnce(simulation: Simulation): void {
  for (const [key, count] of simulation.service.executions) {
    if (count > 1) {
      simulation.reportViolation(PromiseName.AtMostOnce, `${key} ran ${count} times`);
    }
  }
}

/**
 * Checks that an exchange with the verdict "did not run" started no execution on an upstream, and that a call which
 * received only this verdict was not executed at all.
 */
export function checkVerdicts(simulation: Simulation, calls: readonly Call[]): void {
  const startedFor = new Set(simulation.upstreamStarts.map(({ exchangeId }) => exchangeId));
  for (const { exchangeId, verdict } of calls.flatMap(({ exchanges }) => exchanges)) {
    if (verdict === Verdict.DidNotRun && startedFor.has(exchangeId)) {
      simulation.reportViolation(
        PromiseName.TruthfulVerdict,
        `exchange ${exchangeId} ran although its caller was told that it did not`,
      );
    }
  }
  for (const call of calls) {
    const sameKey = calls.filter((other) => scopedRequestId(other) === scopedRequestId(call));
    const exchanges = sameKey.flatMap((other) => other.exchanges);
    const allSaidNotRun = exchanges.every((exchange) => exchange.verdict === Verdict.DidNotRun);
    if (exchanges.length > 0 && allSaidNotRun && hasRun(simulation, call)) {
      simulation.reportViolation(
        PromiseName.TruthfulVerdict,
        `${call.key} ran although its caller was told after every try that it did not`,
      );
    }
  }
}

function hasRun(simulation: Simulation, call: Call): boolean {
  const id = scopedRequestId(call);
  const streamed = [...simulation.engines.values()].some((engine) => engine.streams.has(id));
  return streamed || simulation.service.executions.has(id);
}
