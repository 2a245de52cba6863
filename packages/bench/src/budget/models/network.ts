import { FAR_REGION } from '@pimentostall/faults';
import { ROUTERS } from '../fleetSetup.ts';
import { REPLACE_AFTER_MS, isWithin } from '../scenarios.ts';
import type { Scenario } from '../types.ts';

/** Availability of the routers and of the store to a baseline at the current time. */
export class ModelNetwork {
  nowMs = 0;

  constructor(
    private readonly scenario: Scenario,
    private readonly crashedRouter: number,
  ) {}

  isAlive(router: number): boolean {
    const { routerCrashAtMs } = this.scenario;
    const isDown =
      routerCrashAtMs !== undefined &&
      this.nowMs >= routerCrashAtMs &&
      this.nowMs < routerCrashAtMs + REPLACE_AFTER_MS;
    return !(isDown && router === this.crashedRouter);
  }

  liveRoutersIn(region: string): number[] {
    return [...ROUTERS.keys()].filter((router) => ROUTERS[router]?.region === region && this.isAlive(router));
  }

  canReachStore(router: number): boolean {
    const isCutOff = ROUTERS[router]?.region === FAR_REGION && isWithin(this.scenario.cut, this.nowMs);
    return !isCutOff && !isWithin(this.scenario.storeOutage, this.nowMs);
  }

  /** Whether any live router reaches the store. */
  get isStoreReachable(): boolean {
    return [...ROUTERS.keys()].some((router) => this.isAlive(router) && this.canReachStore(router));
  }
}
