/** Maximum tries of a request that is refused with did-not-run and Retry-After, or loses its router connection. */
export const MAX_TRIES = 3;
/** Delay before the next try after a lost connection. */
export const LOST_CONNECTION_RETRY_MS = 500;
/** Retry-After that the core sends when the store is unreachable. */
export const STORE_UNAVAILABLE_RETRY_MS = 2_000;
