export type { GatewayBlackboard } from './blackboard.ts';
export { createBlackboard } from './blackboard.ts';
export type { ConfigurationFollowerOptions } from './configuration/configurationFollower.ts';
export { ConfigurationFollower } from './configuration/configurationFollower.ts';
export { documentSilentMs } from './configuration/documentState.ts';
export type * from './configuration/types.ts';
export type { GatewayContext } from './context.ts';
export type { DrainActions } from './drain/drainController.ts';
export { drainRouter } from './drain/drainController.ts';
export { chooseEntryAddresses } from './membership/entryAddresses.ts';
export type { RouterView } from './membership/routerRegistry.ts';
export { MembershipCache, RouterRegistry } from './membership/routerRegistry.ts';
export { MemoryAccount, MemoryUse } from './memory/memoryAccount.ts';
export type { MemoryOptions } from './memory/options.ts';
export { connectionLimits, DEFAULT_MEMORY, memoryBoundBytes } from './memory/options.ts';
export type { LedgerAccount } from './money/ledgerController.ts';
export {
  handleStoreRecovery,
  openAccount,
  reserveTokens,
  ReserveOutcomeKind,
  settleTokens,
  wakeAccount,
} from './money/ledgerController.ts';
export type { LoanRequest, PeerPort } from './money/lending.ts';
export { lendTokens } from './money/lending.ts';
export type { LivenessRecord, LivenessStore, PreviousIncarnation } from './money/liveness.ts';
export { maintainLivenessRecord, readPreviousIncarnation } from './money/liveness.ts';
export type { ReleaseOptions } from './money/release.ts';
export { spendableTokens } from './money/release.ts';
export { OrganisationLedger } from './money/organisationLedger.ts';
export type { SharePlanInput, SharePlanOptions } from './money/planShare.ts';
export { DEFAULT_SHARE_PLAN, planShare } from './money/planShare.ts';
export * from './money/types.ts';
export type { Log } from './observability/log.ts';
export { LogLevel } from './observability/log.ts';
export { GatewayMetrics } from './observability/metrics.ts';
export type { GatewayOptions } from './options.ts';
export { createOptions, DEFAULT_OPTIONS } from './options.ts';
export type { CacheChange } from './placement/cacheView.ts';
export { cacheFollowerCount } from './placement/cacheFollowers.ts';
export { CacheView } from './placement/cacheView.ts';
export type { Placement, RouterLocation, PlacementRequest } from './placement/chooseUpstream.ts';
export { chooseUpstream } from './placement/chooseUpstream.ts';
export { recordRetryAfter } from './placement/recordRetryAfter.ts';
export { recordLeaving } from './placement/recordLeaving.ts';
export type { PlacementOptions } from './placement/options.ts';
export { DEFAULT_PLACEMENT } from './placement/options.ts';
export { EntryOrder, UpstreamHistory } from './placement/upstreamHistory.ts';
export { UpstreamView } from './placement/upstreamView.ts';
export type { QuarantineOptions } from './quarantine/options.ts';
export { DEFAULT_QUARANTINE } from './quarantine/options.ts';
export { ageReport } from './quarantine/ageReport.ts';
export { decodeReport } from './quarantine/decodeReports.ts';
export { exchangeSuspects, requestSuspectResync } from './quarantine/exchangeSuspects.ts';
export { readQuarantine, storeQuarantine } from './quarantine/storeQuarantine.ts';
export type { QuarantineStore, SuspectMessage, SuspectPort, SuspectReport } from './quarantine/types.ts';
export { EventSplitter } from './requests/eventSplitter.ts';
export { LocalReplyReason, createLocalReply } from './requests/localReplies.ts';
export * from './requests/ports.ts';
export { serveRequest } from './requests/serveRequest.ts';
export { RetryBudget } from './retries/retryBudget.ts';
export { RouteTable } from './routing/routeTable.ts';
export { superviseTask } from './runtime/superviseTask.ts';
export type { LoopClock } from './runtime/taskLoop.ts';
export { TaskLoop } from './runtime/taskLoop.ts';
export * from './types.ts';
