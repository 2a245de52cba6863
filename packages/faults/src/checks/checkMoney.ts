import type { TableRow } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';
import type { Call } from '../caller.ts';
import { CallKind, CallState } from '../caller.ts';
import {
  LARGE_ORGANISATION,
  MAX_OUTPUT_TOKENS,
  ORDER_PRICE_MICROS,
  OUTPUT_MICROS_PER_TOKEN,
  PROMPT_MICROS_PER_TOKEN,
  SMALL_ORGANISATION,
} from '../fleet.ts';
import { outputTokensOf } from '../fakes/fakeEngine.ts';
import { PromiseName } from '../types.ts';
import type { Simulation } from '../simulation.ts';
import { scopedRequestId } from './checkAnswers.ts';

interface Budget {
  readonly fundedMicros: number;
  readonly allocatedMicros: number;
  readonly settledMicros: number;
  readonly heldMicros: number;
}

interface ShareAmounts {
  readonly grantedMicros: number;
  readonly settledMicros: number;
  readonly returnedMicros: number;
}

interface Bill {
  readonly settled: readonly { readonly requestId: string; readonly amountMicros: number }[];
}

const ORGANISATIONS = [LARGE_ORGANISATION, SMALL_ORGANISATION];

/** Checks the budget invariants of the table. Called after every commit. */
export function checkLedger(simulation: Simulation): void {
  for (const organisationId of ORGANISATIONS) {
    const [row] = simulation.table.read([`budget/${organisationId}`]);
    if (row !== undefined) {
      checkBudget(simulation, organisationId, row.value as unknown as Budget);
    }
  }
}

function checkBudget(simulation: Simulation, organisationId: string, budget: Budget): void {
  const { fundedMicros, allocatedMicros, settledMicros, heldMicros } = budget;
  const topUpMicros = topUpTotalMicros(simulation, organisationId);
  if (fundedMicros > topUpMicros) {
    const detail = `${organisationId} is funded with ${fundedMicros}, but its stored top-ups add up to ${topUpMicros}`;
    simulation.reportViolation(PromiseName.NoOverspend, detail);
  }
  if (settledMicros + allocatedMicros + heldMicros > fundedMicros) {
    simulation.reportViolation(
      PromiseName.NoOverspend,
      `${organisationId} exceeds its funded amount: ${JSON.stringify(budget)}`,
    );
  }
  const shares = simulation.table.scan(`share/${organisationId}/`).map(outstandingMicros);
  const outstandingTotal = shares.reduce((sum, amountMicros) => sum + amountMicros, 0);
  if (outstandingTotal !== allocatedMicros || shares.some((amountMicros) => amountMicros < 0)) {
    const detail = `${organisationId}: shares ${shares.join('+')} differ from allocated ${allocatedMicros}`;
    simulation.reportViolation(PromiseName.NoOverspend, detail);
  }
}

interface StoredBudget {
  readonly organisationId: string;
  readonly topUps: readonly { readonly amountMicros: number }[];
}

/** Sum of the stored top-ups. Independent of the budget row, which the routers write. */
function topUpTotalMicros(simulation: Simulation, organisationId: string): number {
  const [row] = simulation.table.read([`config/section/${SectionName.Budgets}`]);
  const { text } = row?.value as unknown as { readonly text: string };
  const budgets = JSON.parse(text) as readonly StoredBudget[];
  const topUps = budgets.filter((each) => each.organisationId === organisationId).flatMap((b) => b.topUps);
  return topUps.reduce((sum, { amountMicros }) => sum + amountMicros, 0);
}

function outstandingMicros(row: TableRow): number {
  const share = row.value as unknown as ShareAmounts;
  return share.grantedMicros - share.settledMicros - share.returnedMicros;
}

/** Checks that the executions on upstreams, priced once per request id, cost no more than the funded amount. */
export function checkActualSpend(simulation: Simulation): void {
  for (const organisationId of ORGANISATIONS) {
    const fundedMicros = topUpTotalMicros(simulation, organisationId);
    const spentMicros = actualSpendMicros(simulation, organisationId);
    if (spentMicros > fundedMicros) {
      simulation.reportViolation(
        PromiseName.NoOverspend,
        `${organisationId} used ${spentMicros} of ${fundedMicros} micro-units`,
      );
    }
  }
}

function actualSpendMicros(simulation: Simulation, organisationId: string): number {
  const microsByRequest = new Map<string, number>();
  for (const engine of simulation.engines.values()) {
    for (const stream of engine.streams.values()) {
      const tokens = engine.generatedTokens(stream, simulation.nowMs);
      const micros = stream.promptTokens * PROMPT_MICROS_PER_TOKEN + tokens * OUTPUT_MICROS_PER_TOKEN;
      microsByRequest.set(stream.requestId, Math.max(micros, microsByRequest.get(stream.requestId) ?? 0));
    }
  }
  for (const key of simulation.service.executions.keys()) {
    microsByRequest.set(key, ORDER_PRICE_MICROS);
  }
  const own = [...microsByRequest].filter(([requestId]) => requestId.startsWith(`${organisationId}:`));
  return own.reduce((sum, [, micros]) => sum + micros, 0);
}

/** Checks that every answered request is billed exactly once at its price, and that no request is billed twice. */
export function checkBills(simulation: Simulation, calls: readonly Call[]): void {
  const chargesByRequest = new Map<string, number[]>();
  for (const row of simulation.table.scan('bill/')) {
    for (const entry of (row.value as unknown as Bill).settled) {
      chargesByRequest.set(entry.requestId, [
        ...(chargesByRequest.get(entry.requestId) ?? []),
        entry.amountMicros,
      ]);
    }
  }
  for (const [requestId, charges] of chargesByRequest) {
    if (charges.length > 1) {
      simulation.reportViolation(PromiseName.BilledOnce, `${requestId} was charged ${charges.length} times`);
    }
  }
  for (const call of calls.filter(({ state }) => state === CallState.Answered)) {
    checkCharge(simulation, call, chargesByRequest.get(scopedRequestId(call)) ?? []);
  }
  checkBillTotal(simulation, [...chargesByRequest]);
}

function checkCharge(simulation: Simulation, call: Call, charges: readonly number[]): void {
  const expectedMicros =
    call.kind === CallKind.Order ? ORDER_PRICE_MICROS : chatPriceMicros(simulation, call);
  if (charges.length !== 1 || charges[0] !== expectedMicros) {
    const detail = `${call.key} was answered and charged [${charges.join(', ')}], expected ${expectedMicros}`;
    simulation.reportViolation(PromiseName.BilledOnce, detail);
  }
}

function chatPriceMicros(simulation: Simulation, call: Call): number {
  const id = scopedRequestId(call);
  const stream = [...simulation.engines.values()]
    .map((engine) => engine.streams.get(id))
    .find((found) => found);
  const outputTokens = outputTokensOf(id, MAX_OUTPUT_TOKENS);
  return (stream?.promptTokens ?? 0) * PROMPT_MICROS_PER_TOKEN + outputTokens * OUTPUT_MICROS_PER_TOKEN;
}

/** Checks that the settled amount of each budget equals the sum of its bills. */
function checkBillTotal(
  simulation: Simulation,
  chargesByRequest: readonly (readonly [string, readonly number[]])[],
): void {
  for (const organisationId of ORGANISATIONS) {
    const [row] = simulation.table.read([`budget/${organisationId}`]);
    const settledMicros = (row?.value as unknown as Budget | undefined)?.settledMicros ?? 0;
    const own = chargesByRequest.filter(([requestId]) => requestId.startsWith(`${organisationId}:`));
    const billedMicros = own.flatMap(([, charges]) => charges).reduce((sum, micros) => sum + micros, 0);
    if (billedMicros !== settledMicros) {
      simulation.reportViolation(
        PromiseName.BilledOnce,
        `${organisationId}: settled ${settledMicros}, billed ${billedMicros}`,
      );
    }
  }
}
