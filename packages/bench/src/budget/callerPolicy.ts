/** How often a caller sends a request that was refused with did-not-run and Retry-After, or whose router was lost. */
export const MAX_TRIES = 3;
/** Wait before the next try after a lost connection. */
export const LOST_RETRY_MS = 500;
/** Retry-After of a refusal because the store cannot be reached, as the core gives it. */
export const STORE_RETRY_MS = 2_000;
