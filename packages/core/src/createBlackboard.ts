import type { Blackboard, RouterIdentity } from './blackboard.ts';
import { IncarnationStatus } from './blackboard.ts';
import { createMoneyState } from './money/createMoneyState.ts';
import { createRequestState } from './requests/createRequestState.ts';
import { createRoutingState } from './routing/createRoutingState.ts';
import { Channel } from './scheduler/channel.ts';
import { RouterState } from './types/messages.ts';

/** Creates the initial state of a router process, before it has learned of any peer or upstream. */
export function createBlackboard(identity: RouterIdentity, incarnationId: string): Blackboard {
  return {
    identity,
    incarnationId,
    incarnationStatus: IncarnationStatus.Confirmed,
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
    replyChannels: {
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
