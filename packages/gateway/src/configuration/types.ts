import type { Result } from 'neverthrow';
import type { EvacuationReading } from '../evacuation/evacuationState.ts';
import type { RouterEntry } from '../types.ts';

/** The operator's configuration document as it was written. Its format is opaque to this package. */
export interface ConfigurationDocument {
  /** Position of its row in the store (storePosition.ts); 0 is before the first. */
  readonly version: number;
  readonly text: string;
}

/** Reply of the store, or of a router that relays it. */
export interface DocumentReading {
  /** The newest document, unless it is the one that the reader has already. */
  readonly document: ConfigurationDocument | undefined;
  /** Position of the store up to which no newer document exists. */
  readonly seenVersion: number;
  /** Time since the store last replied to the router that read it. */
  readonly silentMs: number;
  /** The evacuated zones; undefined in the reply of a relay that does not know them. */
  readonly evacuations?: EvacuationReading | undefined;
}

/** What the reader has already; undefined where it has nothing. */
export interface KnownDocument {
  readonly documentVersion: number | undefined;
  readonly seenVersion: number | undefined;
  readonly evacuations: EvacuationReading | undefined;
}

/** Reads the configuration document from the store. */
export interface DocumentStorePort {
  /**
   * Waits up to `waitMs` for a document that is newer than the known one, or a change of the evacuated zones.
   *
   * @param onProgress called when the reply begins and while it arrives.
   */
  read(
    known: KnownDocument,
    waitMs: number,
    onProgress: () => void,
  ): Promise<Result<DocumentReading, string>>;
}

/** Reads the configuration document from another router. */
export interface DocumentRelayPort {
  /**
   * Waits up to `waitMs` for a newer document than the known one or a newer set of evacuated zones. The value is undefined if the relay has not
   * read the document yet.
   */
  poll(
    relay: RouterEntry,
    known: KnownDocument,
    waitMs: number,
  ): Promise<Result<DocumentReading | undefined, string>>;
}

/** Where a document came from, for the log. */
export interface DocumentOrigin {
  /** Id of the router that relayed it; undefined if the store was read directly. */
  readonly relay: string | undefined;
  /** Time since the store last replied to the relay. */
  readonly silentMs: number;
}
