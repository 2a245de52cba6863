import { Verdict } from '../types/verdict.ts';

/** Delivery state of one attempt, whether made by this router or reported by a peer or a claim row. */
export enum AttemptState {
  /** No byte can have reached the upstream. */
  NotSent = 'notSent',
  /** The upstream rejected the request before running it. */
  RefusedByUpstream = 'refusedByUpstream',
  /** Bytes may have reached the upstream, and the outcome is unknown. */
  Sent = 'sent',
  /** The upstream answered. */
  Ran = 'ran',
}

export interface AttemptRecord {
  readonly attemptId: string;
  /** True if reported by a peer or a claim row. It counts for the verdict, but not for this router's bill. */
  readonly foreign: boolean;
  state: AttemptState;
}

/** Derives whether the request may have run from the strongest evidence among its attempts. */
export function verdictOf(attempts: readonly AttemptRecord[]): Verdict {
  if (attempts.some((attempt) => attempt.state === AttemptState.Ran)) {
    return Verdict.Ran;
  }
  if (attempts.some((attempt) => attempt.state === AttemptState.Sent)) {
    return Verdict.MayHaveRun;
  }
  return Verdict.DidNotRun;
}
