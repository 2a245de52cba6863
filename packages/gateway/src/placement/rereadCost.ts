/** Factor while no prompts wait: a part that is read again also evicts others from the cache of the engine. */
const IDLE_FACTOR = 2;
/** Mean wait by which the factor grows by one. */
const WAIT_PER_STEP_MS = 50;

/**
 * Returns what it costs to prefill a shared token again, as a multiple of the time that this takes. Answers the load of
 * many shared prompt parts on busy engines: a request that avoids the queue at the home engine of its part adds the
 * prefill of the whole part to the queue of another one, where all that come later wait for it. With a factor of one,
 * requests left their home engines the more often the busier these were, until nearly all engine time went into reading
 * parts again.
 *
 * @param meanPendingMs mean time that the prompts without a first event take at an engine of the service
 */
export function rereadCostFactor(meanPendingMs: number): number {
  return IDLE_FACTOR + Math.max(0, meanPendingMs) / WAIT_PER_STEP_MS;
}
