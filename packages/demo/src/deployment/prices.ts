/** Prices of the configuration, which the auditor also applies to the usage that the stand-ins recorded. */
export const PRICES = {
  promptMicrosPerToken: 2,
  outputMicrosPerToken: 10,
  maxOutputTokens: 32,
  orderMicros: 2_000,
  lookupMicros: 100,
} as const;
