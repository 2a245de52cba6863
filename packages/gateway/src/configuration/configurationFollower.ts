import type { Task } from '@pimentostall/core';
import { Channel, receive, rendezvousOrder, sleepUntil } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { isOfEarlierEra } from '../storeEra/storePosition.ts';
import type { RouterEntry } from '../types.ts';
import { configurationRelays } from './configurationRelays.ts';
import { documentSilentMs, recordReading, recordStoreContact } from './documentState.ts';
import type {
  ConfigurationDocument,
  DocumentOrigin,
  DocumentReading,
  DocumentRelayPort,
  DocumentStorePort,
  KnownDocument,
} from './types.ts';

/**
 * Long-poll wait of a router whose fleet has no relays: short enough to detect a silent connection within the limit
 * for a change.
 */
const STORE_WAIT_MS = 1_000;
/** Long-poll wait of a relay: its followers pass it over once the store has been silent for longer. */
const RELAY_STORE_WAIT_MS = 500;
/** Pause between reads of the store: versions in quick succession are read together. */
const STORE_PAUSE_MS = 200;
/** Base and maximum of the exponential delay after failed reads of the store. */
const STORE_BACKOFF_MS = 40;
const STORE_BACKOFF_MAX_MS = 250;
/** Long-poll wait at a relay, and the pause between polls. */
const RELAY_WAIT_MS = 700;
const RELAY_PAUSE_MS = 50;
/** Relays asked in one round; each silent one delays a version. */
const MAX_RELAYS_ASKED = 3;
/** Silence of the store from which a relay is passed over: its long poll, its pause and a slow reply. */
const MAX_RELAY_SILENT_MS = 1_200;
/** Time for which a relay that failed is not asked again. */
const FAILED_RELAY_PAUSE_MS = 3_000;
/** The same after the start and after an outage: relays that start at the same time do not listen yet. */
const STARTING_RELAY_PAUSE_MS = 200;
/** Time for which other routers take the place of a relay that is cut off from the store. */
const CUT_OFF_RELAY_PAUSE_MS = 1_000;
/** Pause between rounds in which no relay could be asked. */
const ROUND_PAUSE_MS = 100;
/** Delay of a read of the store by a router without relays, which leaves other relays time, and its spread. */
const DIRECT_DELAY_MS = 600;
const DIRECT_SPREAD_MS = 600;
/** The same delay while the relays are likely to be reading a document: after the start and after an outage. */
const DIRECT_START_DELAY_MS = 1_500;
/** Time after an outage of the store within which the relays have read what they missed. */
const RECOVERY_MS = 2_000;
/** Mean period of direct reads without a relay, and after one that failed: the relays mostly recover first. */
const DIRECT_PERIOD_MS = 500;
const DIRECT_FAILED_PERIOD_MS = 2_000;
/** Time allowed for the first rows of other routers after the start, and its spread if there are none. */
const MEMBERSHIP_WAIT_MS = 200;
const MEMBERSHIP_CHECK_INTERVAL_MS = 20;

/** Why and until when a relay is not relied on. */
interface RelayPause {
  /** Start of the poll that failed: a failure that began in an outage says nothing about the time after it. */
  readonly sinceMs: number;
  readonly untilMs: number;
  /** Whether the relay replies, but has not heard from the store. */
  readonly cutOff: boolean;
}

interface RelayReply {
  readonly routerId: string;
  readonly reply: Result<DocumentReading | undefined, string>;
}

export interface ConfigurationFollowerOptions {
  readonly store: DocumentStorePort;
  readonly relays: DocumentRelayPort;
  /**
   * Called with each document whose row is newer than all earlier ones. Returns false if the operator wrote the document
   * in force later, as happens when the store comes back from a copy.
   */
  readonly onDocument: (document: ConfigurationDocument, origin: DocumentOrigin) => boolean;
}

/**
 * Keeps this router's configuration document current. In a large fleet, a few relays of each region read it from the
 * store and the other routers read it from them, so that a large document crosses the link between regions a few times
 * rather than once for each router. A router whose relays all fail reads the store.
 */
export class ConfigurationFollower {
  private storeFailures = 0;
  private readonly pausedRelays = new Map<string, RelayPause>();
  /** Time from which the store is read directly; undefined while a relay is current. */
  private direct: { readonly readAtMs: number; readonly setAtMs: number } | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly options: ConfigurationFollowerOptions,
  ) {}

  *run(): Task<void> {
    const { board, self } = this.context;
    yield* this.waitForMembership();
    while (!board.stopped) {
      const relays = this.chooseRelays();
      if (relays.length === 0) {
        yield* this.followStore(STORE_WAIT_MS);
      } else if (relays.some(({ routerId }) => routerId === self.routerId)) {
        yield* this.followStore(RELAY_STORE_WAIT_MS);
      } else {
        yield* this.followRelays(relays);
      }
    }
  }

  /** While this router itself hears from the store, the next routers replace relays that do not work for it. */
  private chooseRelays(): readonly RouterEntry[] {
    const { board, loop } = this.context;
    const hearsStore = loop.nowMs() - (board.storeLastReplyAtMs ?? -Infinity) <= MAX_RELAY_SILENT_MS;
    return hearsStore && !this.isStarting()
      ? configurationRelays(this.context, (routerId) => this.pauseOf(routerId) !== undefined)
      : configurationRelays(this.context);
  }

  /** Whether all routers are likely to read the document at this time, because they start or the store has recovered. */
  private isStarting(): boolean {
    const { board, loop } = this.context;
    return (
      board.configurationDocument.document === undefined ||
      loop.nowMs() - (board.storeRecoveredAtMs ?? -Infinity) <= RECOVERY_MS
    );
  }

  private pauseOf(routerId: string): RelayPause | undefined {
    const { board, loop } = this.context;
    const pause = this.pausedRelays.get(routerId);
    const isOver =
      pause !== undefined &&
      (loop.nowMs() >= pause.untilMs || pause.sinceMs < (board.storeRecoveredAtMs ?? -Infinity));
    return isOver ? undefined : pause;
  }

  private pauseRelay(
    routerId: string,
    pause: { sinceMs: number; durationMs: number; cutOff: boolean },
  ): void {
    const { sinceMs, durationMs, cutOff } = pause;
    this.pausedRelays.set(routerId, { sinceMs, untilMs: this.context.loop.nowMs() + durationMs, cutOff });
  }

  /** Waits for the routers' rows, which tell whether the fleet is large. */
  private *waitForMembership(): Task<void> {
    const { board, loop, random } = this.context;
    const spreadUntilMs = loop.nowMs() + MEMBERSHIP_WAIT_MS * (1 + random());
    while (board.routers.size === 0 && loop.nowMs() < spreadUntilMs) {
      yield* sleepUntil(loop.nowMs() + MEMBERSHIP_CHECK_INTERVAL_MS);
    }
  }

  private *followStore(waitMs: number): Task<void> {
    const { loop, random } = this.context;
    this.direct = undefined;
    // After a silence, a reply without a wait tells the followers at once that they can rely on this router.
    const isSilent = (documentSilentMs(this.context) ?? Infinity) > MAX_RELAY_SILENT_MS;
    if (yield* this.readStore(isSilent ? 0 : waitMs)) {
      yield* sleepUntil(loop.nowMs() + STORE_PAUSE_MS);
      return;
    }
    const backoffMs = Math.min(STORE_BACKOFF_MS * 2 ** this.storeFailures, STORE_BACKOFF_MAX_MS);
    yield* sleepUntil(loop.nowMs() + backoffMs * (0.5 + random()));
  }

  /** Returns whether the store replied. */
  private *readStore(waitMs: number): Task<boolean> {
    const reading = yield* this.context.loop.settled(
      this.options.store.read(this.known(), waitMs, () => {
        recordStoreContact(this.context);
      }),
    );
    if (reading.isErr()) {
      this.storeFailures += 1;
      this.context.log(LogLevel.Debug, 'failed to read configuration from store', {
        detail: reading.error,
        failures: this.storeFailures,
      });
      return false;
    }
    this.storeFailures = 0;
    this.record(reading.value, undefined);
    return true;
  }

  /** Polls a relay, in this router's own order so that the routers spread over them; on a failure also the others. */
  private *followRelays(relays: readonly RouterEntry[]): Task<void> {
    const { loop, self } = this.context;
    const relaysById = new Map(
      relays
        .filter(({ routerId }) => this.pauseOf(routerId)?.cutOff !== false)
        .map((relay) => [relay.routerId, relay]),
    );
    const [first, ...rest] = rendezvousOrder(self.routerId, [...relaysById.keys()])
      .slice(0, MAX_RELAYS_ASKED)
      .flatMap((routerId) => relaysById.get(routerId) ?? []);
    const waitMs = Math.max(0, Math.min(RELAY_WAIT_MS, (this.direct?.readAtMs ?? Infinity) - loop.nowMs()));
    const isCurrent =
      (first !== undefined && (yield* this.pollRelays([first], waitMs))) ||
      // The others are asked at once what they know, so that a version is not delayed further.
      (yield* this.pollRelays(rest, 0));
    if (isCurrent) {
      this.direct = undefined;
      yield* sleepUntil(loop.nowMs() + RELAY_PAUSE_MS);
    } else {
      yield* this.readStoreWhenDue();
    }
  }

  /** Polls relays at the same time. Returns true once one of them replies that has heard from the store recently. */
  private *pollRelays(relays: readonly RouterEntry[], waitMs: number): Task<boolean> {
    const { loop } = this.context;
    const replies = new Channel<RelayReply>();
    const sinceMs = loop.nowMs();
    for (const relay of relays) {
      void this.options.relays.poll(relay, this.known(), waitMs).then((reply) => {
        loop.push(replies, { routerId: relay.routerId, reply });
      });
    }
    for (let pendingCount = relays.length; pendingCount > 0; pendingCount -= 1) {
      const reply = yield* receive(replies, Infinity);
      if (reply !== undefined && this.handleReply(reply, sinceMs)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether the relay has heard from the store recently. */
  private handleReply({ routerId, reply }: RelayReply, sinceMs: number): boolean {
    if (reply.isErr()) {
      const durationMs = this.isStarting() ? STARTING_RELAY_PAUSE_MS : FAILED_RELAY_PAUSE_MS;
      this.pauseRelay(routerId, { sinceMs, durationMs, cutOff: false });
      this.context.log(LogLevel.Debug, 'failed to read configuration from relay', {
        relay: routerId,
        detail: reply.error,
      });
      return false;
    }
    this.pausedRelays.delete(routerId);
    if (reply.value === undefined) {
      return false;
    }
    const { seenVersion = 0 } = this.context.board.configurationDocument;
    this.record(reply.value, routerId);
    // A relay that has not heard from the store since it came back from a copy cannot tell what the operator wrote since.
    const isOutdated = isOfEarlierEra(reply.value.seenVersion, seenVersion);
    if (isOutdated || reply.value.silentMs > MAX_RELAY_SILENT_MS) {
      this.pauseRelay(routerId, { sinceMs, durationMs: CUT_OFF_RELAY_PAUSE_MS, cutOff: true });
      return false;
    }
    return true;
  }

  /** Without a current relay: reads the store at a random time, so that the followers of a relay do not all do it at once. */
  private *readStoreWhenDue(): Task<void> {
    const { board, loop, random } = this.context;
    if (this.direct !== undefined && this.direct.setAtMs < (board.storeRecoveredAtMs ?? -Infinity)) {
      // The relays need a moment to read the store after an outage as well.
      this.direct = undefined;
    }
    const delayMs = this.isStarting() ? DIRECT_START_DELAY_MS : DIRECT_DELAY_MS;
    this.direct ??= {
      readAtMs: loop.nowMs() + delayMs + DIRECT_SPREAD_MS * random(),
      setAtMs: loop.nowMs(),
    };
    if (loop.nowMs() < this.direct.readAtMs) {
      yield* sleepUntil(Math.min(loop.nowMs() + ROUND_PAUSE_MS, this.direct.readAtMs));
      return;
    }
    const periodMs = (yield* this.readStore(0)) ? DIRECT_PERIOD_MS : DIRECT_FAILED_PERIOD_MS;
    this.direct = { readAtMs: loop.nowMs() + periodMs * (0.5 + random()), setAtMs: loop.nowMs() };
  }

  private known(): KnownDocument {
    const { configurationDocument, evacuations } = this.context.board;
    const { document, seenVersion } = configurationDocument;
    return { documentVersion: document?.version, seenVersion, evacuations: evacuations.reading };
  }

  private record(reading: DocumentReading, relay: string | undefined): void {
    const state = this.context.board.configurationDocument;
    const previous = state.document;
    const document = recordReading(this.context, reading);
    if (document === undefined) {
      return;
    }
    const origin = { relay, silentMs: Math.round(reading.silentMs) };
    if (!this.options.onDocument(document, origin) && previous !== undefined) {
      // Followers that start before the operator has written again get the document in force.
      state.document = { version: document.version, text: previous.text };
    }
  }
}
