import { IncarnationStatus } from '../blackboard.ts';
import type { CoreContext } from '../context.ts';
import { rendezvousOrder } from '../hash.ts';
import { logInfo, logWarn } from '../log.ts';
import { liveRegionPeers } from '../membership/livePeers.ts';
import type { Task } from '../scheduler/task.ts';
import { sleepUntil } from '../scheduler/task.ts';
import type { ModelServiceSection } from '../types/configuration.ts';
import { ServiceKind } from '../types/configuration.ts';
import { RouterState } from '../types/messages.ts';
import { EngineOrderOutcome, ModelState } from '../types/orders.ts';
import { readModels, sendOrder } from './callEngine.ts';
import { acquireLease, validLease } from './acquireLease.ts';
import type { EngineView, PlannedOrder } from './planOrders.ts';
import { planOrders } from './planOrders.ts';
import type { OrderLease } from './types.ts';

const MILLISECONDS_PER_MINUTE = 60_000;
/** Engines read in one round; if there are more, rounds cycle through them. */
const MAX_READS_PER_ROUND = 12;

/** Makes engines load and unload models to match the configuration. One router does so for each service. */
export function* ordersController(context: CoreContext): Task<void> {
  for (let round = 0; ; round += 1) {
    yield* sleepUntil(context.clock.monotonicMs + context.options.orderIntervalMs);
    const services = context.board.configuration?.document.services ?? [];
    for (const service of services) {
      if (service.kind === ServiceKind.Model && isCandidate(context, service.serviceId)) {
        yield* reconcileService(context, service, round);
      }
    }
  }
}

/** Only one router of the store's region tries to acquire a lease, to reduce store load; the lease row decides. */
function isCandidate(context: CoreContext, serviceId: string): boolean {
  const { board } = context;
  const { identity } = board;
  const mayOrder =
    board.routerState === RouterState.Live && board.incarnationStatus === IncarnationStatus.Confirmed;
  if (!mayOrder || identity.region !== identity.storeRegion) {
    return false;
  }
  const peers = liveRegionPeers(context).filter((peer) => peer.state === RouterState.Live);
  const addresses = [...peers.map((peer) => peer.sender.peerAddress), identity.peerAddress];
  return rendezvousOrder(`orders/${serviceId}`, addresses)[0] === identity.peerAddress;
}

function* reconcileService(context: CoreContext, service: ModelServiceSection, round: number): Task<void> {
  const lease = yield* acquireLease(context, service.serviceId);
  if (lease === undefined) {
    return;
  }
  const views = yield* readEngines(context, service, round);
  refillLoadAllowance(context, lease);
  const { availableLoads } = lease;
  for (const order of planOrders({ views, serviceModels: service.models, availableLoads })) {
    const shouldContinue = yield* executeOrder(context, service.serviceId, order);
    if (!shouldContinue) {
      return;
    }
  }
}

function* readEngines(
  context: CoreContext,
  service: ModelServiceSection,
  round: number,
): Task<readonly EngineView[]> {
  const configuredEngines = context.board.configuration?.document.engines ?? [];
  const count = Math.min(configuredEngines.length, MAX_READS_PER_ROUND);
  const views: EngineView[] = [];
  for (let offset = 0; offset < count; offset += 1) {
    const engine = configuredEngines[(round * MAX_READS_PER_ROUND + offset) % configuredEngines.length];
    if (engine !== undefined && validLease(context, service.serviceId) !== undefined) {
      views.push({ engine, models: yield* readModels(context, engine.address) });
    }
  }
  return views;
}

function refillLoadAllowance(context: CoreContext, lease: OrderLease): void {
  const { monotonicMs } = context.clock;
  const { weightLoadsPerMinute } = context.options;
  const refilledLoads = ((monotonicMs - lease.refilledAtMs) * weightLoadsPerMinute) / MILLISECONDS_PER_MINUTE;
  lease.availableLoads = Math.min(weightLoadsPerMinute, lease.availableLoads + refilledLoads);
  lease.refilledAtMs = monotonicMs;
}

/** Sends an order if the lease allows it; false if no further order may be sent in this round. */
function* executeOrder(context: CoreContext, serviceId: string, order: PlannedOrder): Task<boolean> {
  const { board, clock } = context;
  const lease = validLease(context, serviceId);
  if (lease === undefined || board.incarnationStatus === IncarnationStatus.Unconfirmed) {
    return false;
  }
  const { engine, model, state } = order;
  if (!engine.honoursFencing && clock.monotonicMs < lease.unfencedOrdersFromMs) {
    return true;
  }
  const { fencingNumber } = lease;
  // A load order that gets no answer may have started, so it counts against the rate.
  lease.availableLoads -= state === ModelState.Loaded ? 1 : 0;
  const outcome = yield* sendOrder(context, engine.address, { fencingNumber, model, state });
  const fields = { serviceId, address: engine.address, model, state, fencingNumber };
  switch (outcome) {
    case EngineOrderOutcome.Accepted:
      logInfo(context, 'An engine took the order.', fields);
      return true;
    case EngineOrderOutcome.Unknown:
      logWarn(context, 'An engine did not answer the order; its models will be read again.', fields);
      return true;
    case EngineOrderOutcome.Fenced:
      logWarn(context, 'An engine has seen a higher fencing number; this router gives up its lease.', fields);
      board.orders.leases.delete(serviceId);
      return false;
  }
}
