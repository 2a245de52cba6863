import { FAR_REGION } from '@pimentostall/faults';
import { ROUTERS } from '../fleetSetup.ts';
import { REPLACE_AFTER_MS, isWithin } from '../scenarios.ts';
import type { Scenario } from '../types.ts';

/** Which routers and which store a baseline can use at a time. */
export class ModelNetwork {
  nowMs = 0;

  constructor(
    private readonly scenario: Scenario,
    private readonly deadRouter: number,
  ) {}

  isAlive(router: number): boolean {
    const { deathAtMs } = this.scenario;
    const isDown =
      deathAtMs !== undefined && this.nowMs >= deathAtMs && this.nowMs < deathAtMs + REPLACE_AFTER_MS;
    return !(isDown && router === this.deadRouter);
  }

  /** Live routers of a region. */
  routersOf(region: string): number[] {
    return [...ROUTERS.keys()].filter((router) => ROUTERS[router]?.region === region && this.isAlive(router));
  }

  reachesStore(router: number): boolean {
    const isCutOff = ROUTERS[router]?.region === FAR_REGION && isWithin(this.scenario.cut, this.nowMs);
    return !isCutOff && !isWithin(this.scenario.storeOutage, this.nowMs);
  }

  /** Whether any live router reaches the store. */
  get storeIsAsked(): boolean {
    return [...ROUTERS.keys()].some((router) => this.isAlive(router) && this.reachesStore(router));
  }
}
