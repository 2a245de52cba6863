/** Limits for callers that nobody controls. No caller within the limits of docs/CAPACITY.md meets one of the defaults. */
export interface MemoryOptions {
  /** Bytes that connections, bodies, requests and responses may take together. */
  readonly boundBytes: number;
  /** Connections of callers that are open at once. */
  readonly maxCallerConnections: number;
  /** Connections to each of the process's other servers that are open at once. */
  readonly maxOtherConnections: number;
  /**
   * Time for which the body or head of a request may stop arriving: longer than a partition of 12 s, in which callers
   * stop in the middle of a body.
   */
  readonly bodyStallMs: number;
  /** Time for which a caller may take no byte of a response that waits for it: longer than a partition of 12 s. */
  readonly responseStallMs: number;
  /** Requests without a complete response that are read from one connection; the next ones stay in its socket. */
  readonly maxPipelinedRequests: number;
}

/** The bounds are those of a VM with 178 MB and 4,100 descriptors. */
export const DEFAULT_MEMORY: MemoryOptions = {
  boundBytes: 34_603_008,
  maxCallerConnections: 2_925,
  maxOtherConnections: 121,
  bodyStallMs: 20_000,
  responseStallMs: 20_000,
  maxPipelinedRequests: 8,
};

const BYTES_PER_MB = 1_048_576;
/** Resident memory of a router without callers: 84 to 100 MB, and the modules that load with the first requests. */
const IDLE_MB = 112;
/** Fraction of the rest that the account gets; buffers that are freed stay resident until the next garbage collection. */
const ACCOUNT_FRACTION = 0.5;
/** Least bound: two bodies of 4 MiB, or ordinary traffic of 250 requests, on a VM that is smaller than the idle process. */
const MIN_BOUND_BYTES = 16 * BYTES_PER_MB;
/** Largest bound: what is charged for objects lies in the heap, which is limited to 96 MB. */
const MAX_BOUND_BYTES = 96 * BYTES_PER_MB;

/** Returns the bound of the memory account on a VM with this memory. */
export function memoryBoundBytes(vmMemoryMb: number): number {
  const boundBytes = Math.floor((vmMemoryMb - IDLE_MB) * ACCOUNT_FRACTION * BYTES_PER_MB);
  return Math.min(MAX_BOUND_BYTES, Math.max(MIN_BOUND_BYTES, boundBytes));
}

/** Descriptors for files, pipes and modules. */
const FILE_DESCRIPTORS = 200;
/** Fractions of the other descriptors for callers and for each other server; the rest is for upstreams and the store. */
const CALLER_FRACTION = 0.75;
const OTHER_SERVER_FRACTION = 1 / 32;
/** Least number of connections, on a VM with hardly more descriptors than the process needs for itself. */
const MIN_CONNECTIONS = 16;

/** Returns the limits of connections for a process with this number of file descriptors. */
export function connectionLimits(
  maxDescriptors: number,
): Pick<MemoryOptions, 'maxCallerConnections' | 'maxOtherConnections'> {
  const available = Math.max(0, maxDescriptors - FILE_DESCRIPTORS);
  return {
    maxCallerConnections: Math.max(MIN_CONNECTIONS, Math.floor(available * CALLER_FRACTION)),
    maxOtherConnections: Math.max(MIN_CONNECTIONS, Math.floor(available * OTHER_SERVER_FRACTION)),
  };
}
