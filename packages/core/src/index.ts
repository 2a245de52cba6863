export { IncarnationStatus } from './blackboard.ts';
export type { Blackboard, RouterIdentity } from './blackboard.ts';
export { chooseEntryAddresses } from './entry/entryAddresses.ts';
export { hash32, isAmongFirst, rendezvousOrder } from './hash.ts';
export type { RandomSource } from './random.ts';
export { randomIdentifier, seededRandom } from './random.ts';
export type { RouterCoreSetup, StepResult } from './routerCore.ts';
export { RouterCore } from './routerCore.ts';
export * from './types/index.ts';
export {
  encodeSection,
  parseSectionName,
  historyKey,
  operatorKey,
  REVISION_KEY,
  sectionKey,
} from './configuration/storedRows.ts';
export type { EngineCandidate, EngineChoice, EngineChoiceRequest } from './routing/chooseEngine.ts';
export { chooseEngine, EngineChoiceKind } from './routing/chooseEngine.ts';
export { createUpstreamInfo } from './routing/createUpstreamInfo.ts';
export { prefixHashes } from './routing/prefixHashes.ts';
export { PrefixCacheEstimate } from './routing/prefixCacheEstimate.ts';
export type { UpstreamInfo } from './routing/types.ts';
export { Channel } from './scheduler/channel.ts';
export { Scheduler } from './scheduler/scheduler.ts';
export type { Task, Wait } from './scheduler/task.ts';
export { receive, sleepUntil, waitForAny } from './scheduler/task.ts';
export type { AttemptRecord } from './requests/verdict.ts';
export { AttemptState, verdictOf } from './requests/verdict.ts';
