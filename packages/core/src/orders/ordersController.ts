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
import { holdLease, validLease } from './holdLease.ts';
import type { EngineView, PlannedOrder } from './planOrders.ts';
import { planOrders } from './planOrders.ts';
import type { OrderLease } from './types.ts';

const MILLISECONDS_PER_MINUTE = 60_000;
/** Engines read back in one round, in turns if there are more. */
const MAX_READS_PER_ROUND = 12;

/** Brings the models of the engines to what the configuration wants, from one router for each service. */
export function* ordersController(context: CoreContext): Task<void> {
  for (let round = 0; ; round += 1) {
    yield* sleepUntil(context.clock.monotonicMs + context.options.orderIntervalMs);
    const services = context.board.configuration?.document.services ?? [];
    for (const service of services) {
      if (service.kind === ServiceKind.Model && isCandidate(context, service.serviceId)) {
        yield* orderService(context, service, round);
      }
    }
  }
}

/** Only one router of the store's region asks for a lease, to spare the store; the lease row decides. */
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

function* orderService(context: CoreContext, service: ModelServiceSection, round: number): Task<void> {
  const lease = yield* holdLease(context, service.serviceId);
  if (lease === undefined) {
    return;
  }
  const views = yield* readEngines(context, service, round);
  refillLoads(context, lease);
  const { availableLoads } = lease;
  for (const order of planOrders({ views, serviceModels: service.models, availableLoads })) {
    const goesOn = yield* giveOrder(context, service.serviceId, order);
    if (!goesOn) {
      return;
    }
  }
}

function* readEngines(
  context: CoreContext,
  service: ModelServiceSection,
  round: number,
): Task<readonly EngineView[]> {
  const all = context.board.configuration?.document.engines ?? [];
  const count = Math.min(all.length, MAX_READS_PER_ROUND);
  const views: EngineView[] = [];
  for (let offset = 0; offset < count; offset += 1) {
    const engine = all[(round * MAX_READS_PER_ROUND + offset) % all.length];
    if (engine !== undefined && validLease(context, service.serviceId) !== undefined) {
      views.push({ engine, models: yield* readModels(context, engine.address) });
    }
  }
  return views;
}

function refillLoads(context: CoreContext, lease: OrderLease): void {
  const { monotonicMs } = context.clock;
  const { weightLoadsPerMinute } = context.options;
  const grown = ((monotonicMs - lease.refilledAtMs) * weightLoadsPerMinute) / MILLISECONDS_PER_MINUTE;
  lease.availableLoads = Math.min(weightLoadsPerMinute, lease.availableLoads + grown);
  lease.refilledAtMs = monotonicMs;
}

/** False once no further order may be given in this round. */
function* giveOrder(context: CoreContext, serviceId: string, order: PlannedOrder): Task<boolean> {
  const { board, clock } = context;
  const lease = validLease(context, serviceId);
  if (lease === undefined || board.incarnationStatus === IncarnationStatus.Unconfirmed) {
    return false;
  }
  const { engine, model, state } = order;
  if (!engine.honoursFencing && clock.monotonicMs < lease.quietUntilMs) {
    return true;
  }
  const { fencingNumber } = lease;
  // A load without an answer may have started, so it counts.
  lease.availableLoads -= state === ModelState.Loaded ? 1 : 0;
  const outcome = yield* sendOrder(context, engine.address, { fencingNumber, model, state });
  const fields = { serviceId, address: engine.address, model, state, fencingNumber };
  switch (outcome) {
    case EngineOrderOutcome.Accepted:
      logInfo(context, 'An engine took an order.', fields);
      return true;
    case EngineOrderOutcome.Unknown:
      logWarn(context, 'An engine did not answer an order; its models are read again.', fields);
      return true;
    case EngineOrderOutcome.Fenced:
      logWarn(context, 'An engine has seen a newer holder; this router gives up its lease.', fields);
      board.orders.leases.delete(serviceId);
      return false;
  }
}
