/** Order to a load process. */
export interface LoadOrder {
  readonly address: string;
  readonly bearerKey: string;
  readonly body: string;
  /** Text that a whole answer contains at its end. */
  readonly endMark: string;
  readonly durationMs: number;
  readonly load: Load;
}

export type Load =
  /** Each connection sends its next request when the last one has ended. */
  | { readonly kind: 'closed'; readonly connectionCount: number }
  /** Requests start at fixed times, whether the earlier ones have ended or not. */
  | { readonly kind: 'open'; readonly requestsPerSecond: number };

export interface LoadResult {
  readonly answered: number;
  readonly failed: number;
  readonly elapsedMs: number;
  /** Time to the first token of each answered request. */
  readonly firstTokenMs: readonly number[];
  /** Time to the last byte of each answered request. */
  readonly totalMs: readonly number[];
}
