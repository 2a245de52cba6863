import { Verdict } from '../types/verdict.ts';

/** What is known of one attempt, whether made here or reported by a peer or a claim row. */
export enum AttemptState {
  /** No byte can have reached the upstream. */
  NotSent = 'notSent',
  /** The upstream itself stated that it did not take the request. */
  RefusedByUpstream = 'refusedByUpstream',
  /** Bytes may have reached the upstream and its outcome is unknown. */
  Sent = 'sent',
  /** The upstream answered. */
  Ran = 'ran',
}

export interface AttemptRecord {
  readonly attemptId: string;
  /** Reported by a peer or a claim row: it tells whether the request ran, but not with this router's money. */
  readonly foreign: boolean;
  state: AttemptState;
}

/** Whether the request may have run: the strongest evidence of any of its attempts. */
export function verdictOf(attempts: readonly AttemptRecord[]): Verdict {
  if (attempts.some((attempt) => attempt.state === AttemptState.Ran)) {
    return Verdict.Ran;
  }
  if (attempts.some((attempt) => attempt.state === AttemptState.Sent)) {
    return Verdict.MayHaveRun;
  }
  return Verdict.DidNotRun;
}
