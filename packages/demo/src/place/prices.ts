/** Prices that the demo configures and that its auditor applies to the engines' records. */
export const PRICES = {
  promptMicrosPerToken: 2,
  outputMicrosPerToken: 10,
  maxOutputTokens: 32,
  orderMicros: 2_000,
  lookupMicros: 100,
} as const;
