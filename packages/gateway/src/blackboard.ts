import type { DocumentState } from './configuration/documentState.ts';
import { createDocumentState } from './configuration/documentState.ts';
import type { EvacuationState } from './evacuation/evacuationState.ts';
import { createEvacuationState } from './evacuation/evacuationState.ts';
import type { EngineLoadState } from './engineLoad/engineLoadState.ts';
import { createEngineLoadState } from './engineLoad/engineLoadState.ts';
import { MembershipCache, RouterRegistry } from './membership/routerRegistry.ts';
import type { LedgerAccount } from './money/account.ts';
import type { SilentPeers } from './money/lenderOrder.ts';
import type { PreviousIncarnation } from './money/liveness.ts';
import type { RestorationState } from './money/storeRestoration.ts';
import { createRestorationState } from './money/storeRestoration.ts';
import type { MembershipReads } from './placement/coldAllowance.ts';
import type { ColdRecords } from './placement/coldUpstreams.ts';
import { MemoryAccount } from './memory/memoryAccount.ts';
import { DEFAULT_MEMORY } from './memory/options.ts';
import type { ZoneSpillState } from './placement/createReach.ts';
import { createZoneSpillState } from './placement/createReach.ts';
import { LeavingUpstreams } from './placement/leavingUpstreams.ts';
import type { UpstreamView } from './placement/upstreamView.ts';
import { DEFAULT_QUARANTINE } from './quarantine/options.ts';
import type { QuarantineState } from './quarantine/quarantineState.ts';
import { createQuarantineState } from './quarantine/quarantineState.ts';
import type { RetryBudget } from './retries/retryBudget.ts';
import type { RouteTable } from './routing/routeTable.ts';
import type { GatewayConfiguration } from './types.ts';

/** State shared by the controllers. Each section is written by the module that defines its type. */
export interface GatewayBlackboard {
  configuration: GatewayConfiguration | undefined;
  /** The document from which the configuration was decoded, or a newer one that could not be decoded. */
  readonly configurationDocument: DocumentState;
  /** Availability zones to which nothing may be sent. */
  readonly evacuations: EvacuationState;
  routeTable: RouteTable | undefined;
  /** Organisation names by API key. */
  organisationByKey: ReadonlyMap<string, string>;
  /** All known upstreams by id, including those that are not ready. */
  readonly upstreams: Map<string, UpstreamView>;
  /** Monotonic time at which the newest reading of the registry was requested. */
  registerReadAtMs: number;
  /** Upstreams that said that they are leaving, whatever the registry says of them. */
  readonly leavingUpstreams: LeavingUpstreams;
  /** Cold upstreams by id. */
  readonly coldRecords: ColdRecords;
  /** What is known about leaving the zone. */
  readonly zoneSpill: ZoneSpillState;
  readonly routers: RouterRegistry;
  readonly membershipReads: MembershipReads;
  /** Ids of the home routers by organisation name. */
  readonly homeRouters: MembershipCache<readonly string[]>;
  readonly accounts: Map<string, LedgerAccount>;
  /** Peers that did not reply to loan requests; they are asked last. */
  readonly silentPeers: SilentPeers;
  readonly retryBudgets: Map<string, RetryBudget>;
  readonly quarantine: QuarantineState;
  readonly engineLoad: EngineLoadState;
  /** The bytes that callers and upstreams make the process hold. */
  readonly memory: MemoryAccount;
  /** True while the sweep of the memory account runs. */
  memorySweepRuns: boolean;
  /** True once the process has received the stop signal. */
  draining: boolean;
  drainStartedAtMs: number;
  /** True once a draining router ends the open requests whose response has not started. */
  endingRequests: boolean;
  /** True once a draining router also ends the responses that have started, right before it exits. */
  endingResponses: boolean;
  /** Tells the controllers to terminate. */
  stopped: boolean;
  /** How the previous incarnation of this router ended; set before the first account is opened. */
  previousIncarnation: PreviousIncarnation;
  /** Monotonic time of the newest liveness record that the store may have persisted. */
  newestLivenessRecordAtMs: number;
  /** True once a draining router rejects requests; tokens that no open request needs then go back. */
  returningShares: boolean;
  /** Number of requests that were read completely and whose response has not left the process completely. */
  openRequests: number;
  /** Monotonic time of the store's last reply; undefined before the first. */
  storeLastReplyAtMs: number | undefined;
  /**
   * Monotonic time at which the store last recovered from an outage or came back from a copy; undefined before the first
   * of these.
   */
  storeRecoveredAtMs: number | undefined;
  /** Era of the store: the number of its returns from a copy, as it counts them. Undefined for a store without eras. */
  storeEra: number | undefined;
  readonly restoration: RestorationState;
}

export function createBlackboard(
  quarantine = DEFAULT_QUARANTINE,
  memoryBoundBytes = DEFAULT_MEMORY.boundBytes,
): GatewayBlackboard {
  const routers = new RouterRegistry();
  return {
    configuration: undefined,
    configurationDocument: createDocumentState(),
    evacuations: createEvacuationState(),
    routeTable: undefined,
    organisationByKey: new Map(),
    upstreams: new Map(),
    registerReadAtMs: -Infinity,
    leavingUpstreams: new LeavingUpstreams(),
    coldRecords: new Map(),
    zoneSpill: createZoneSpillState(),
    routers,
    membershipReads: { firstAtMs: undefined, lastAtMs: -Infinity },
    homeRouters: new MembershipCache(routers),
    accounts: new Map(),
    silentPeers: new Map(),
    retryBudgets: new Map(),
    quarantine: createQuarantineState(quarantine),
    engineLoad: createEngineLoadState(),
    memory: new MemoryAccount(memoryBoundBytes),
    memorySweepRuns: false,
    draining: false,
    drainStartedAtMs: Infinity,
    endingRequests: false,
    endingResponses: false,
    stopped: false,
    previousIncarnation: { record: undefined, readAtStoreMs: 0 },
    newestLivenessRecordAtMs: Infinity,
    returningShares: false,
    openRequests: 0,
    storeLastReplyAtMs: undefined,
    storeRecoveredAtMs: undefined,
    storeEra: undefined,
    restoration: createRestorationState(),
  };
}
