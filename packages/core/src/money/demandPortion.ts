import type { OrganisationLedger } from './types.ts';

/** Old settlements lose weight with this time constant, so that the portion follows traffic that moves. */
const PORTION_WINDOW_MS = 600_000;
/** Settlements of this many worst cases weigh as much as the guess that all demand is here. */
const PRIOR_WORST_CASES = 8;

export interface PortionInput {
  readonly ownSettledMicros: number;
  readonly totalSettledMicros: number;
  readonly nowMs: number;
}

/** Adds what was settled since the last read of the rows. */
export function updatePortion(ledger: OrganisationLedger, input: PortionInput): void {
  const { portion } = ledger;
  const weight = Math.exp((portion.atMs - input.nowMs) / PORTION_WINDOW_MS);
  // A first read shows the settlements of earlier incarnations, which say nothing about this one.
  const isFirst = portion.lastTotalMicros === undefined;
  const ownMicros = isFirst ? 0 : Math.max(0, input.ownSettledMicros - portion.lastOwnMicros);
  const totalMicros = isFirst ? 0 : Math.max(0, input.totalSettledMicros - (portion.lastTotalMicros ?? 0));
  portion.ownMicros = portion.ownMicros * weight + ownMicros;
  portion.totalMicros = portion.totalMicros * weight + totalMicros;
  portion.lastOwnMicros = input.ownSettledMicros;
  portion.lastTotalMicros = input.totalSettledMicros;
  portion.atMs = input.nowMs;
}

/** This router's part of the organisation's recent usage; 1 until settlements show demand elsewhere. */
export function demandPortion(ledger: OrganisationLedger, worstCaseMicros: number): number {
  const { ownMicros, totalMicros } = ledger.portion;
  const priorMicros = PRIOR_WORST_CASES * Math.max(1, worstCaseMicros);
  return Math.min(1, (ownMicros + priorMicros) / (totalMicros + priorMicros));
}
