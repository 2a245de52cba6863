import type { OrganisationLedger } from './types.ts';

/** Time constant with which past settlements decay, so that the portion follows shifts in traffic. */
const PORTION_TIME_CONSTANT_MS = 600_000;
/** Weight, in worst cases, of the prior assumption that all demand arrives at this router. */
const PRIOR_WORST_CASES = 8;

export interface PortionInput {
  readonly ownSettledMicros: number;
  readonly totalSettledMicros: number;
  readonly nowMs: number;
}

/** Adds the amounts settled since the last read of the rows. */
export function updatePortion(ledger: OrganisationLedger, input: PortionInput): void {
  const { portion } = ledger;
  const weight = Math.exp((portion.atMs - input.nowMs) / PORTION_TIME_CONSTANT_MS);
  // The first read includes settlements from before this incarnation, which say nothing about its demand.
  const isFirst = portion.lastTotalMicros === undefined;
  const ownMicros = isFirst ? 0 : Math.max(0, input.ownSettledMicros - portion.lastOwnMicros);
  const totalMicros = isFirst ? 0 : Math.max(0, input.totalSettledMicros - (portion.lastTotalMicros ?? 0));
  portion.ownMicros = portion.ownMicros * weight + ownMicros;
  portion.totalMicros = portion.totalMicros * weight + totalMicros;
  portion.lastOwnMicros = input.ownSettledMicros;
  portion.lastTotalMicros = input.totalSettledMicros;
  portion.atMs = input.nowMs;
}

/** This router's fraction of the organisation's recent usage; 1 until settlements show demand elsewhere. */
export function demandPortion(ledger: OrganisationLedger, worstCaseMicros: number): number {
  const { ownMicros, totalMicros } = ledger.portion;
  const priorMicros = PRIOR_WORST_CASES * Math.max(1, worstCaseMicros);
  return Math.min(1, (ownMicros + priorMicros) / (totalMicros + priorMicros));
}
