import type { RouterEntry } from '../types.ts';

/** Registry entry of another router, with the monotonic time at which this router last saw its row change. */
export interface RouterView {
  readonly entry: RouterEntry;
  readonly changedAtMs: number;
}

/**
 * Size from which a few routers read from the store for the others. In a smaller fleet, the store serves each router, and
 * each has enough demand for a share of its own.
 */
const MIN_LARGE_FLEET = 16;

/** The known routers by id. Heartbeats replace entries all the time; `membershipVersion` tells what else changed. */
export class RouterRegistry extends Map<string, RouterView> {
  private changeCount = 0;

  /** Grows whenever a router is added or removed, or its readiness or region changes. */
  get membershipVersion(): number {
    return this.changeCount;
  }

  /** True if some routers draw tokens and read the configuration on behalf of the others. */
  get isLargeFleet(): boolean {
    return this.size >= MIN_LARGE_FLEET;
  }

  override set(routerId: string, view: RouterView): this {
    const previous = this.get(routerId)?.entry;
    if (previous?.ready !== view.entry.ready || previous.region !== view.entry.region) {
      this.changeCount += 1;
    }
    return super.set(routerId, view);
  }

  override delete(routerId: string): boolean {
    const deleted = super.delete(routerId);
    if (deleted) {
      this.changeCount += 1;
    }
    return deleted;
  }

  override clear(): void {
    this.changeCount += 1;
    super.clear();
  }
}

/** Keeps values that depend on the known routers, their readiness and regions, until any of these changes. */
export class MembershipCache<T> {
  private readonly values = new Map<string, T>();
  private membershipVersion: number;

  constructor(private readonly routers: RouterRegistry) {
    this.membershipVersion = routers.membershipVersion;
  }

  getOrCompute(key: string, compute: () => T): T {
    if (this.membershipVersion !== this.routers.membershipVersion) {
      this.membershipVersion = this.routers.membershipVersion;
      this.values.clear();
    }
    const existing = this.values.get(key);
    if (existing !== undefined) {
      return existing;
    }
    const value = compute();
    this.values.set(key, value);
    return value;
  }
}
