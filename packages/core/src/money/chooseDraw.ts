export interface DrawInput {
  readonly demandMicrosPerSecond: number;
  /** Duration for which the share should last without the store. */
  readonly horizonMs: number;
  /** Largest single reservation that the share must be able to cover. */
  readonly worstCaseMicros: number;
  /** Sum of the pending reservations. */
  readonly waitingMicros: number;
  readonly availableMicros: number;
  readonly fundedMicros: number;
  /** Unallocated part of the budget. */
  readonly freeMicros: number;
  /** Largest fraction of the unallocated amount that one draw takes while the budget is far from exhausted. */
  readonly drawFraction: number;
  /** Upper bound of the share; unbounded if omitted. */
  readonly capMicros?: number;
}

const MILLISECONDS_PER_SECOND = 1_000;
/** Below this fraction of the funded amount draws shrink, so that the rest stays available to all routers. */
const NEAR_EXHAUSTION_FRACTION = 0.2;
/** A draw costs a store transaction, so the share of a rarely used organisation still covers a few requests. */
const MIN_TARGET_WORST_CASES = 4;

/**
 * Target amount of the share: the demand over the horizon, at least a few worst cases, at most the cap. A cap
 * below that minimum means that the budget is nearly spent. The target is then 0, because an amount too small for
 * a request here could complete one on another router.
 */
export function targetMicros(
  input: Pick<DrawInput, 'demandMicrosPerSecond' | 'horizonMs' | 'worstCaseMicros' | 'capMicros'>,
): number {
  const { capMicros = Infinity } = input;
  const demandMicros = (input.demandMicrosPerSecond * input.horizonMs) / MILLISECONDS_PER_SECOND;
  const minimumMicros = MIN_TARGET_WORST_CASES * input.worstCaseMicros;
  if (capMicros < minimumMicros) {
    return 0;
  }
  return Math.ceil(Math.min(capMicros, Math.max(demandMicros, minimumMicros)));
}

/** Returns the amount to draw; 0 means no draw. */
export function chooseDraw(input: DrawInput): number {
  const deficitMicros = Math.max(targetMicros(input), input.waitingMicros) - input.availableMicros;
  if (deficitMicros <= 0 || input.freeMicros <= 0) {
    return 0;
  }
  const maximumDrawMicros = Math.floor(effectiveDrawFraction(input) * input.freeMicros);
  const worstCaseShortfallMicros = Math.max(0, input.worstCaseMicros - input.availableMicros);
  if (worstCaseShortfallMicros > input.freeMicros) {
    // A draw that does not cover the request would only strand the amount in this share.
    return 0;
  }
  return Math.max(worstCaseShortfallMicros, Math.min(deficitMicros, maximumDrawMicros));
}

function effectiveDrawFraction(input: DrawInput): number {
  const nearExhaustionMicros = NEAR_EXHAUSTION_FRACTION * input.fundedMicros;
  return input.drawFraction * Math.min(1, input.freeMicros / Math.max(1, nearExhaustionMicros));
}
