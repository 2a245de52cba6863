const MICROS_PER_MILLISECOND = 1_000;

/** Processor time of the process, which waiting for a busy machine does not lengthen. */
export function processorMicros(work: () => void): number {
  const before = process.cpuUsage();
  work();
  const { user, system } = process.cpuUsage(before);
  return user + system;
}

/** Processor milliseconds of one call, from enough calls that the clock's resolution does not matter. */
export function millisecondsPerCall(calls: number, work: (call: number) => void): number {
  const micros = processorMicros(() => {
    for (let call = 0; call < calls; call += 1) {
      work(call);
    }
  });
  return micros / MICROS_PER_MILLISECOND / calls;
}

/** The second collection takes what only finalizers and weak references of the first kept. */
function heldBytes(): number {
  globalThis.gc?.();
  globalThis.gc?.();
  const { heapUsed, arrayBuffers } = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

/** Memory of what `build` returns, as the difference of the heap after forced collections. */
export function retainedBytes<T>(build: () => T): { readonly bytes: number; readonly held: T } {
  const before = heldBytes();
  const held = build();
  return { bytes: Math.max(0, heldBytes() - before), held };
}
