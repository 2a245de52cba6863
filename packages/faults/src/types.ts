/** Faults that the matrix injects. A run injects one fault or a pair of faults. */
export enum FaultKind {
  CrashBefore = 'crashBefore',
  CrashAfter = 'crashAfter',
  /** Suspends the process before the step, for longer than the request deadlines and the reclaim of its share. */
  Freeze = 'freeze',
  /** As Freeze, but between the pause check of the shell and the write to the upstream. */
  FreezeInWindow = 'freezeInWindow',
  ReplyLost = 'replyLost',
  Duplicate = 'duplicate',
  Reorder = 'reorder',
  RegionCut = 'regionCut',
  StoreDown = 'storeDown',
  StoreSlow = 'storeSlow',
}

export interface Fault {
  readonly kind: FaultKind;
  /** Index of the effect at which the fault is injected, as counted by FaultPlan. */
  readonly step: number;
  readonly durationMs: number;
}

export enum PromiseName {
  NoOverspend = 'noOverspend',
  BilledOnce = 'billedOnce',
  WholeOwnAnswer = 'wholeOwnAnswer',
  TruthfulVerdict = 'truthfulVerdict',
  AtMostOnce = 'atMostOnce',
  LeavingUpstream = 'leavingUpstream',
  GracefulStop = 'gracefulStop',
  Configuration = 'configuration',
}

export interface Violation {
  readonly promise: PromiseName;
  readonly detail: string;
}

export interface RunReport {
  readonly seed: number;
  readonly faults: readonly Fault[];
  readonly violations: readonly Violation[];
  /** Kinds of the faults whose step was reached. */
  readonly struck: readonly FaultKind[];
  readonly stepCount: number;
  readonly answeredCount: number;
  readonly refusedCount: number;
}
