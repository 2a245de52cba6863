import { Channel } from '../scheduler/channel.ts';
import type { MoneyState } from './types.ts';

/** Creates the money state of a router without shares. */
export function createMoneyState(incarnationId: string): MoneyState {
  return {
    shares: new Map(),
    ownRecords: new Map(),
    copies: new Map(),
    drawRequests: new Channel(),
    organisations: new Map(),
    waiters: new Map(),
    recordWaiters: new Map(),
    acknowledgedBy: new Map(),
    queries: new Map(),
    resolvedAtMs: new Map(),
    orphanKeys: new Set(),
    suspectSinceMs: new Map(),
    reclaiming: new Set(),
    ownIncarnationIds: new Set([incarnationId]),
    registeredIncarnationId: undefined,
    pauseCount: 0,
    pausedAtMs: -Infinity,
    confirmRequests: new Channel(),
    returning: false,
  };
}
