import type { RouterEntry } from '../types.ts';
import type { EngineLoads } from './loadSums.ts';

/** What the loads of a message cover, which decides what its receiver does with them. */
export enum LoadScope {
  /** The requests of the sending router. The reply holds the sums of all other routers. */
  Router = 'router',
  /** All routers that report to the sending collector. The reply holds the same of the receiver. */
  Collector = 'collector',
}

export interface LoadMessage {
  readonly scope: LoadScope;
  readonly senderId: string;
  readonly loads: EngineLoads;
}

/** Sends loads to other routers. */
export interface LoadPort {
  /** Resolves to the loads of the reply, or undefined if there is no valid one. Does not reject. */
  post(peer: RouterEntry, message: LoadMessage): Promise<EngineLoads | undefined>;
}
