import type { Task } from '@pimentostall/core';
import { Channel, receive } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { recordEvacuations } from '../evacuation/recordEvacuations.ts';
import type { ConfigurationDocument, DocumentReading } from './types.ts';

/** The newest configuration document that this router has, and how current that knowledge is. */
export interface DocumentState {
  document: ConfigurationDocument | undefined;
  /** Version of the store up to which no newer document exists; undefined before the first reading. */
  seenVersion: number | undefined;
  /**
   * Monotonic time at which the store last replied to a read of the document, by this router or one that relays it;
   * undefined before the first reply. The reply may still be arriving.
   */
  storeHeardAtMs: number | undefined;
  /** Tasks that wait for a newer document or a change of the evacuated zones. */
  readonly waiters: Set<Channel<true>>;
}

export function createDocumentState(): DocumentState {
  return { document: undefined, seenVersion: undefined, storeHeardAtMs: undefined, waiters: new Set() };
}

/** Records that a reply of the store has begun or continues. */
export function recordStoreContact({ board, loop }: GatewayContext): void {
  board.configurationDocument.storeHeardAtMs = loop.nowMs();
}

/** Time since the store last replied to a read of the document; undefined before the first reply. */
export function documentSilentMs({ board, loop }: GatewayContext): number | undefined {
  const { storeHeardAtMs } = board.configurationDocument;
  return storeHeardAtMs === undefined ? undefined : Math.max(0, Math.round(loop.nowMs() - storeHeardAtMs));
}

/** Records a reading. Returns its document if it is newer than the current one, otherwise undefined. */
export function recordReading(
  context: GatewayContext,
  { document, seenVersion, silentMs, evacuations }: DocumentReading,
): ConfigurationDocument | undefined {
  const { board, loop } = context;
  const state = board.configurationDocument;
  state.seenVersion = Math.max(seenVersion, state.seenVersion ?? seenVersion);
  state.storeHeardAtMs = Math.max(loop.nowMs() - silentMs, state.storeHeardAtMs ?? -Infinity);
  const isNewer = document !== undefined && document.version > (state.document?.version ?? 0);
  if (isNewer) {
    state.document = document;
  }
  // Recorded before the caller applies the document, so that no request is placed without knowledge of the zones.
  const zonesChanged = evacuations !== undefined && recordEvacuations(context, evacuations);
  if (isNewer || zonesChanged) {
    for (const waiter of state.waiters) {
      loop.push(waiter, true);
    }
  }
  return isNewer ? document : undefined;
}

/**
 * Waits for a document that is newer than a version; returns undefined if the deadline passes first, or the evacuated
 * zones change.
 *
 * @param zonesVersion version of the store at which the waiting router read the evacuated zones; undefined if it does not
 *   wait for their changes
 */
export function* waitForNewerDocument(
  { board }: GatewayContext,
  version: number,
  deadlineMs: number,
  zonesVersion?: number,
): Task<ConfigurationDocument | undefined> {
  const { configurationDocument: state, evacuations } = board;
  const changes = new Channel<true>();
  state.waiters.add(changes);
  try {
    while (state.document === undefined || state.document.version <= version) {
      const zonesChanged = zonesVersion !== undefined && (evacuations.changedVersion ?? 0) > zonesVersion;
      if (zonesChanged || (yield* receive(changes, deadlineMs)) === undefined) {
        return undefined;
      }
    }
    return state.document;
  } finally {
    state.waiters.delete(changes);
  }
}
