/** Message that makes a load process send requests for a fixed duration. */
export interface LoadOrder {
  readonly address: string;
  readonly bearerKey: string;
  readonly body: string;
  /** Text that appears at the end of a complete response. */
  readonly endMarker: string;
  readonly durationMs: number;
  readonly load: Load;
}

export type Load =
  /** Closed loop: each connection sends its next request when the previous one has completed. */
  | { readonly kind: 'closed'; readonly connectionCount: number }
  /** Open loop: requests start at a fixed rate, whether or not earlier ones have completed. */
  | { readonly kind: 'open'; readonly requestsPerSecond: number };

export interface LoadResult {
  readonly answered: number;
  readonly failed: number;
  readonly elapsedMs: number;
  /** Time to the first token of each successful request. */
  readonly firstTokenMs: readonly number[];
  /** Time to the last byte of each successful request. */
  readonly totalMs: readonly number[];
}
