/** The faults that the matrix injects, one at a step or two at two steps. */
export enum FaultKind {
  CrashBefore = 'crashBefore',
  CrashAfter = 'crashAfter',
  /** The process stops before the step and wakes after every deadline. */
  Freeze = 'freeze',
  /** As Freeze, but between the adapter's last clock comparison and the write to the upstream. */
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
  /** Number of the effect at which the fault strikes. */
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
  /** Faults that found their step and could act on it. */
  readonly struck: readonly FaultKind[];
  readonly stepCount: number;
  readonly answeredCount: number;
  readonly refusedCount: number;
}
