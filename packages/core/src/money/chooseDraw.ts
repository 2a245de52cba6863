export interface DrawInput {
  readonly demandMicrosPerSecond: number;
  /** Time that the share should last without the store. */
  readonly horizonMs: number;
  /** Largest single reservation that the share must be able to cover. */
  readonly worstCaseMicros: number;
  /** Sum of the reservations that wait now. */
  readonly waitingMicros: number;
  readonly availableMicros: number;
  readonly fundedMicros: number;
  /** Unallocated remainder of the budget. */
  readonly freeMicros: number;
  /** Largest part of the remainder that one draw takes while the budget is far from exhausted. */
  readonly drawFraction: number;
  /** Most that the share should hold; without a bound if missing. */
  readonly capMicros?: number;
}

const MILLISECONDS_PER_SECOND = 1_000;
/** Below this part of the funded amount the fraction shrinks, so that the last money stays open to all routers. */
const EXHAUSTION_FRACTION = 0.2;
/** A draw costs a store transaction, so the share of a hardly used organisation covers a few requests. */
const MIN_TARGET_WORST_CASES = 4;

/**
 * What the share should hold: the demand of the horizon, and at least a few worst cases, within the cap. A cap
 * below those few worst cases means that the money is nearly spent: then nothing is kept in advance, because a
 * part that covers no request here could cover one elsewhere.
 */
export function targetMicros(
  input: Pick<DrawInput, 'demandMicrosPerSecond' | 'horizonMs' | 'worstCaseMicros' | 'capMicros'>,
): number {
  const { capMicros = Infinity } = input;
  const demandMicros = (input.demandMicrosPerSecond * input.horizonMs) / MILLISECONDS_PER_SECOND;
  const leastMicros = MIN_TARGET_WORST_CASES * input.worstCaseMicros;
  if (capMicros < leastMicros) {
    return 0;
  }
  return Math.ceil(Math.min(capMicros, Math.max(demandMicros, leastMicros)));
}

/** Decides the amount of a draw; 0 means no draw. */
export function chooseDraw(input: DrawInput): number {
  const wantedMicros = Math.max(targetMicros(input), input.waitingMicros) - input.availableMicros;
  if (wantedMicros <= 0 || input.freeMicros <= 0) {
    return 0;
  }
  const boundMicros = Math.floor(shrunkFraction(input) * input.freeMicros);
  const worstCaseShortMicros = Math.max(0, input.worstCaseMicros - input.availableMicros);
  if (worstCaseShortMicros > input.freeMicros) {
    // Money that does not cover the request would only be stranded here.
    return 0;
  }
  return Math.max(worstCaseShortMicros, Math.min(wantedMicros, boundMicros));
}

function shrunkFraction(input: DrawInput): number {
  const nearExhaustionMicros = EXHAUSTION_FRACTION * input.fundedMicros;
  return input.drawFraction * Math.min(1, input.freeMicros / Math.max(1, nearExhaustionMicros));
}
