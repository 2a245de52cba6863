import type { Blackboard, RouterIdentity } from './coreState.ts';
import { Confirmation } from './coreState.ts';
import { createMoneyState } from './money/createMoneyState.ts';
import { createRequestState } from './requests/createRequestState.ts';
import { createRoutingState } from './routing/createRoutingState.ts';
import { Channel } from './scheduler/channel.ts';
import { RouterState } from './types/messages.ts';

/** A blackboard without any knowledge: what a router has when its process starts. */
export function createBlackboard(identity: RouterIdentity, incarnationId: string): Blackboard {
  return {
    identity,
    incarnationId,
    confirmation: Confirmation.Confirmed,
    routerState: RouterState.Starting,
    stopRequested: false,
    stopSignal: new Channel(),
    acceptsRequests: true,
    configuration: undefined,
    rejectedRevision: 0,
    operators: new Map(),
    membership: { peers: new Map(), vms: new Map(), listReadAtMs: undefined, absentSinceMs: new Map() },
    money: createMoneyState(incarnationId),
    requests: createRequestState(),
    adminExchanges: new Set(),
    routing: createRoutingState(),
    orders: { leases: new Map() },
    replies: {
      tableCalls: new Map(),
      membershipCalls: new Map(),
      probes: new Map(),
      engineOrders: new Map(),
      engineModels: new Map(),
      attempts: new Map(),
      exchanges: new Map(),
    },
  };
}
