/** What bytes are allocated for. The values are labels of metrics. */
export enum MemoryUse {
  Connections = 'connections',
  /** Heads and bodies of requests that have not arrived completely, and bytes behind them. */
  Reading = 'reading',
  /** Requests that are served, with their bodies. */
  Requests = 'requests',
  /** Responses that an upstream has sent and that their callers do not have yet. */
  Responses = 'responses',
}

/** How much of the bound an allocation may use. */
export enum MemoryClass {
  /** A body that is larger than an ordinary one. */
  Large = 'large',
  /** Bytes that were received together with a large body that has to wait. */
  Received = 'received',
  Ordinary = 'ordinary',
}

/** Parts of the bound that remain free for the classes after it, so that large bodies do not stop ordinary requests. */
const CLASS_FRACTIONS: Readonly<Record<MemoryClass, number>> = {
  [MemoryClass.Large]: 0.75,
  [MemoryClass.Received]: 0.875,
  [MemoryClass.Ordinary]: 1,
};

/** A body up to this size is ordinary: callers send 17 KB on average and 100 KB at most. */
export const ORDINARY_BODY_BYTES = 131_072;
/**
 * Largest charge of a connection with an ordinary body: its blocks, the buffer into which they are copied, and one read of
 * the socket.
 */
const ORDINARY_HOLDER_BYTES = 2 * ORDINARY_BODY_BYTES + 65_536;
/** Time without progress after which a holder may be ended for the sake of others. */
const RECLAIM_IDLE_MS = 2_000;
/** Time for which an allocation may wait before the largest holder is ended for its sake, whether idle or not. */
const MAX_WAIT_MS = 2_000;

/** A connection that holds bytes which its caller can make it hold for longer. */
export interface MemoryHolder {
  /** Bytes that `reclaim` releases; 0 if nothing can be reclaimed, for instance since a request is being executed. */
  readonly reclaimableBytes: number;
  /** Time without progress of the caller. */
  readonly idleMs: number;
  /** Counts the time without progress and enforces the limits of the holder. Returns false once it holds nothing. */
  sweep(elapsedMs: number): boolean;
  /** Ends what it holds and releases `reclaimableBytes` before it returns. */
  reclaim(): void;
}

/** An allocation that did not fit. */
export interface MemoryWaiter {
  readonly use: MemoryUse;
  readonly bytes: number;
  readonly memoryClass: MemoryClass;
  /** Called once, when the bytes are allocated. */
  readonly onAllocated: () => void;
}

interface QueuedWaiter extends MemoryWaiter {
  waitedMs: number;
}

/**
 * Allocates the bytes that callers and upstreams can make the process hold, under one bound. Handles crowds of callers
 * that send or pipeline more than the VM can hold and then stop. An allocation that does not fit is refused or waits; the
 * bound is never exceeded.
 */
export class MemoryAccount {
  private boundBytes: number;
  private allocated = 0;
  private readonly byUse = new Map<MemoryUse, number>();
  private readonly holders = new Set<MemoryHolder>();
  /** In the order in which they came; the first one is not overtaken by later ones of its class. */
  private readonly waiters = new Set<QueuedWaiter>();
  private granting = false;

  constructor(boundBytes: number) {
    this.boundBytes = boundBytes;
  }

  get allocatedBytes(): number {
    return this.allocated;
  }

  get bound(): number {
    return this.boundBytes;
  }

  get waiterCount(): number {
    return this.waiters.size;
  }

  bytesOf(use: MemoryUse): number {
    return this.byUse.get(use) ?? 0;
  }

  /** True while something is held or waits, so that `sweep` must be called periodically. */
  get needsSweep(): boolean {
    return this.holders.size > 0 || this.waiters.size > 0;
  }

  /**
   * Raises the bound so that one allocation of the class `Large` fits.
   *
   * @param largestBytes size of that allocation
   */
  admit(largestBytes: number): void {
    this.boundBytes = Math.max(this.boundBytes, Math.ceil(largestBytes / CLASS_FRACTIONS[MemoryClass.Large]));
  }

  /** Allocates bytes if they fit and no earlier allocation of the class waits. Returns whether it did. */
  tryAllocate(use: MemoryUse, bytes: number, memoryClass: MemoryClass): boolean {
    if (!this.fits(bytes, memoryClass) || this.isQueued(memoryClass)) {
      return false;
    }
    this.add(use, bytes);
    return true;
  }

  /**
   * Allocates bytes for an ordinary request and ends other holders if they do not fit: those that are idle, and those
   * that hold more than an ordinary body. Returns false if that is not enough.
   */
  allocateOrReclaim(use: MemoryUse, bytes: number): boolean {
    while (!this.fits(bytes, MemoryClass.Ordinary)) {
      const victim = this.findVictim(
        ({ idleMs, reclaimableBytes }) =>
          idleMs >= RECLAIM_IDLE_MS || reclaimableBytes > ORDINARY_HOLDER_BYTES,
      );
      if (victim === undefined) {
        return false;
      }
      this.end(victim);
    }
    this.add(use, bytes);
    return true;
  }

  /** Returns bytes that were allocated, and gives them to allocations that wait. */
  release(use: MemoryUse, bytes: number): void {
    if (bytes === 0) {
      return;
    }
    this.add(use, -bytes);
    this.grant();
  }

  /** Allocates bytes for another use that were allocated for one. */
  move(from: MemoryUse, to: MemoryUse, bytes: number): void {
    this.add(from, -bytes);
    this.add(to, bytes);
  }

  /** Queues an allocation that did not fit. Returns a function that withdraws it, unless it was allocated. */
  wait(waiter: MemoryWaiter): () => void {
    const queued: QueuedWaiter = { ...waiter, waitedMs: 0 };
    this.waiters.add(queued);
    return () => {
      if (this.waiters.delete(queued)) {
        // The next ones may fit.
        this.grant();
      }
    };
  }

  /** Registers a holder until its `sweep` returns false or `removeHolder` is called. */
  addHolder(holder: MemoryHolder): void {
    this.holders.add(holder);
  }

  removeHolder(holder: MemoryHolder): void {
    this.holders.delete(holder);
  }

  /**
   * Enforces the limits of all holders, and ends some of them while allocations wait.
   *
   * @param elapsedMs time since the last call, without the time for which the process was stalled
   */
  sweep(elapsedMs: number): void {
    for (const holder of [...this.holders]) {
      if (!holder.sweep(elapsedMs)) {
        this.holders.delete(holder);
      }
    }
    for (const waiter of this.waiters) {
      waiter.waitedMs += elapsedMs;
    }
    this.reclaimForWaiters();
  }

  private reclaimForWaiters(): void {
    for (let first = this.firstWaiter; first !== undefined; first = this.firstWaiter) {
      const { waitedMs } = first;
      const victim =
        this.findVictim(({ idleMs }) => idleMs >= RECLAIM_IDLE_MS) ??
        (waitedMs >= MAX_WAIT_MS ? this.findVictim(() => true) : undefined);
      if (victim === undefined) {
        return;
      }
      this.end(victim);
    }
  }

  private get firstWaiter(): QueuedWaiter | undefined {
    return this.waiters.values().next().value;
  }

  /** Returns the eligible holder with the most bytes, weighted by its time without progress. */
  private findVictim(isEligible: (holder: MemoryHolder) => boolean): MemoryHolder | undefined {
    let victim: MemoryHolder | undefined;
    let highest = 0;
    for (const holder of this.holders) {
      const weight = holder.reclaimableBytes * (1 + holder.idleMs);
      if (weight > highest && isEligible(holder)) {
        victim = holder;
        highest = weight;
      }
    }
    return victim;
  }

  private end(holder: MemoryHolder): void {
    this.holders.delete(holder);
    holder.reclaim();
  }

  private fits(bytes: number, memoryClass: MemoryClass): boolean {
    return this.allocated + bytes <= this.boundBytes * CLASS_FRACTIONS[memoryClass];
  }

  private isQueued(memoryClass: MemoryClass): boolean {
    // Only large allocations queue behind each other; ordinary ones take what is reserved for them.
    return memoryClass === MemoryClass.Large && this.waiters.size > 0 && !this.granting;
  }

  private grant(): void {
    if (this.granting) {
      return;
    }
    this.granting = true;
    try {
      for (let first = this.firstWaiter; first !== undefined; first = this.firstWaiter) {
        if (!this.fits(first.bytes, first.memoryClass)) {
          return;
        }
        this.waiters.delete(first);
        this.add(first.use, first.bytes);
        first.onAllocated();
      }
    } finally {
      this.granting = false;
    }
  }

  private add(use: MemoryUse, bytes: number): void {
    this.allocated += bytes;
    this.byUse.set(use, this.bytesOf(use) + bytes);
  }
}
