/** A request that this router serves now. */
export interface RunningRequest {
  readonly requestId: string;
  readonly organisationId: string;
  readonly classId: string;
  readonly startedAtMs: number;
}

export interface RequestState {
  /** By organisation and request identity joined with a slash. */
  readonly running: Map<string, RunningRequest>;
}
