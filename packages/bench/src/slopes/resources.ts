const MICROS_PER_MILLISECOND = 1_000;

/** CPU time of the process. Unlike elapsed time, it excludes waiting for the CPU on a busy machine. */
export function measureCpuMicros(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** Mean CPU milliseconds per call; `calls` must be large enough for the resolution of the CPU clock. */
export function cpuMillisecondsPerCall(calls: number, work: (call: number) => void): number {
  const micros = measureCpuMicros(() => {
    for (let call = 0; call < calls; call += 1) {
      work(call);
    }
  });
  return micros / MICROS_PER_MILLISECOND / calls;
}

/** Collects twice: the second pass frees objects that finalizers and weak references kept during the first. */
function usedBytesAfterCollection(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Memory retained by the result of `build`: the difference of heap and buffers after forced collections. */
export function measureRetainedBytes<T>(build: () => T): { readonly bytes: number; readonly held: T } {
  const before = usedBytesAfterCollection();
  const held = build();
  return { bytes: Math.max(0, usedBytesAfterCollection() - before), held };
}
