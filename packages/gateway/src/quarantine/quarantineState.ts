import { Channel } from '@pimentostall/core';
import type { QuarantineOptions } from './options.ts';
import { SuspectTable } from './suspectTable.ts';

export enum SuspectNewsKind {
  /** The record of a part has changed. */
  Changed = 'changed',
  /** This router may have missed news. */
  Resync = 'resync',
}

export type SuspectNews =
  | { readonly kind: SuspectNewsKind.Changed; readonly partId: string }
  | { readonly kind: SuspectNewsKind.Resync };

/** An attempt whose answer has not begun. */
export interface UnansweredAttempt {
  readonly partIds: readonly string[];
  /** Ends the attempt, since one of its parts has been quarantined. */
  withdraw(): void;
}

/** What this router knows about parts that crash engines, and who must learn of changes. */
export interface QuarantineState {
  readonly table: SuspectTable;
  /** Read by the task that exchanges records with other routers. */
  readonly news: Channel<SuspectNews>;
  /** Ids of parts whose quarantine has changed; read by the task that stores them. */
  readonly unstored: Channel<string>;
  readonly unanswered: Set<UnansweredAttempt>;
}

export function createQuarantineState(options: QuarantineOptions): QuarantineState {
  return {
    table: new SuspectTable(options),
    news: new Channel(),
    unstored: new Channel(),
    unanswered: new Set(),
  };
}
