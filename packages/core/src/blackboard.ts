import type { ActiveConfiguration, Operator } from './configuration/types.ts';
import type { MembershipView } from './membership/types.ts';
import type { MoneyState } from './money/types.ts';
import type { OrdersState } from './orders/types.ts';
import type { RequestState } from './requests/types.ts';
import type { RoutingState } from './routing/types.ts';
import type { Channel } from './scheduler/channel.ts';
import type { AttemptEvent, CoreEvent, EventKind } from './types/events.ts';
import type { RouterState } from './types/messages.ts';

/** Identity of this router. A paused router that finds itself fenced gets a new incarnation. */
export interface RouterIdentity {
  readonly routerId: string;
  readonly vmId: string;
  readonly region: string;
  /** The region that hosts the platform's store. */
  readonly storeRegion: string;
  readonly availabilityZone: string;
  readonly callerAddress: string;
  readonly peerAddress: string;
}

/** Whether this router may dispatch requests. A long process pause revokes this until the store confirms it. */
export enum IncarnationStatus {
  Confirmed = 'confirmed',
  Unconfirmed = 'unconfirmed',
}

export type EventOf<K extends EventKind> = Extract<CoreEvent, { readonly kind: K }>;

/** Channels of pending calls, keyed by call, attempt or exchange identifier. */
export interface ReplyChannels {
  readonly tableCalls: Map<string, Channel<EventOf<EventKind.TableReply>>>;
  readonly membershipCalls: Map<string, Channel<EventOf<EventKind.MembershipReply>>>;
  readonly probes: Map<string, Channel<EventOf<EventKind.UpstreamProbed>>>;
  readonly engineOrders: Map<string, Channel<EventOf<EventKind.EngineOrdered>>>;
  readonly engineModels: Map<string, Channel<EventOf<EventKind.EngineModels>>>;
  readonly attempts: Map<string, Channel<AttemptEvent>>;
  readonly exchanges: Map<string, Channel<EventOf<EventKind.CallerGone>>>;
}

/** State shared by all controllers. Each section is owned by the module that defines its type. */
export interface Blackboard {
  readonly identity: RouterIdentity;
  incarnationId: string;
  incarnationStatus: IncarnationStatus;
  routerState: RouterState;
  stopRequested: boolean;
  /** Wakes the drain controller; `stopRequested` alone wakes no task. */
  readonly stopSignal: Channel<undefined>;
  /** False once a drain has lasted `entryKeepMs`; until then callers may use cached entry answers. */
  acceptsRequests: boolean;
  configuration: ActiveConfiguration | undefined;
  /** Highest revision that could not be parsed; it is neither fetched nor logged again. */
  rejectedRevision: number;
  /** Operators by key hash as last read, so that status requests work while the store is down. */
  readonly operators: Map<string, Operator>;
  readonly membership: MembershipView;
  readonly money: MoneyState;
  readonly requests: RequestState;
  /** Identifiers of administration requests that have not been answered yet. */
  readonly adminExchanges: Set<string>;
  readonly routing: RoutingState;
  readonly orders: OrdersState;
  readonly replyChannels: ReplyChannels;
}
