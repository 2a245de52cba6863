import assert from 'node:assert/strict';
import type { RandomSource } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { createBlackboard } from '../../blackboard.ts';
import type { GatewayContext } from '../../context.ts';
import { Timeline } from '../../money/__tests__/timeline.ts';
import { GatewayMetrics } from '../../observability/metrics.ts';
import { createOptions } from '../../options.ts';
import { TaskLoop } from '../../runtime/taskLoop.ts';
import type { RouterEntry } from '../../types.ts';
import { ConfigurationFollower } from '../configurationFollower.ts';
import { documentSilentMs, waitForNewerDocument } from '../documentState.ts';
import type { ConfigurationDocument, DocumentReading, KnownDocument } from '../types.ts';

export enum Region {
  /** The region of the store. */
  Near = 'near',
  Far = 'far',
}

/** Round trips to the store and between two routers of a region. */
const STORE_ROUND_TRIP_MS = { [Region.Near]: 3, [Region.Far]: 18 };
const PEER_ROUND_TRIP_MS = 3;
/** A document of 600 KB on the region link of 42 Mbit/s, and on a router's link of 7 Mbit/s. */
const REGION_LINK_TRANSFER_MS = 115;
const ROUTER_LINK_TRANSFER_MS = 690;
/** The same document compressed, on a router's link. */
const COMPRESSED_TRANSFER_MS = 70;
/** Period in which a part of a large document arrives. */
const PROGRESS_PERIOD_MS = 200;
const STORE_TIMEOUT_MS = 900;
const POLL_TIMEOUT_MS = 500;
const HEARTBEAT_MS = 1_000;
const MEMBERSHIP_READ_MS = 400;
/** Routers start within this time of each other. */
const START_SPREAD_MS = 300;
const OUTAGE_MS = 1_000;

/** One incarnation of a router. */
export class SimulatedRouter {
  alive = true;
  /** False while this router is cut off from the store. */
  storeReachable = true;
  /** False while this router is cut off from the other routers. */
  peersReachable = true;
  /** Version that is in force, with the time at which it was received. */
  received: { readonly version: number; readonly atMs: number } | undefined;
  /** Documents that the store has sent to this router. */
  documentReads = 0;
  readonly context: GatewayContext;
  private frozenUntilMs = 0;
  private frozenTotalMs = 0;
  /** Time until which the router's link is busy with documents that were sent. */
  uplinkBusyUntilMs = 0;
  /** Calls of other routers that this one has not answered; each function resets its connection. */
  readonly pendingPolls = new Set<() => void>();
  /** Reads of the store that have no reply; each function aborts one, as the store client does after an outage. */
  readonly pendingReads = new Set<() => void>();
  private readonly beats = new Map<string, number>();

  constructor(
    private readonly routers: SimulatedRouters,
    readonly index: number,
    readonly region: Region,
  ) {
    const { timeline, random } = routers;
    const self: RouterEntry = {
      routerId: `router-${index}`,
      incarnationId: `router-${index}-${timeline.nowMs}`,
      callerAddress: '',
      peerAddress: '',
      region,
      availabilityZone: `${region}-${index % 3}`,
      ready: true,
    };
    const loop = new TaskLoop(
      {
        nowMs: () => {
          timeline.recordReading();
          return timeline.nowMs - this.frozenTotalMs + Math.max(0, this.frozenUntilMs - timeline.nowMs);
        },
        startTimer: (delayMs, callback) =>
          timeline.schedule(delayMs, () => {
            this.run(callback);
          }),
      },
      (task, cause) => {
        throw new Error(`task ${task} failed`, { cause });
      },
    );
    // The follower uses no other part of the context.
    this.context = {
      board: createBlackboard(),
      loop,
      options: createOptions()._unsafeUnwrap(),
      self,
      random,
      log: () => undefined,
      metrics: new GatewayMetrics(),
      location: { availabilityZone: '', region, regionOf: () => region },
    } as unknown as GatewayContext;
  }

  /** Runs a callback in this process; delays it while the process is frozen, drops it once the process has ended. */
  run(callback: () => void): void {
    if (!this.alive) {
      return;
    }
    const { timeline } = this.routers;
    if (this.frozenUntilMs > timeline.nowMs) {
      timeline.schedule(this.frozenUntilMs - timeline.nowMs, () => {
        this.run(callback);
      });
      return;
    }
    callback();
  }

  freeze(durationMs: number): void {
    this.frozenUntilMs = this.routers.timeline.nowMs + durationMs;
    this.frozenTotalMs += durationMs;
  }

  start(): void {
    const { context, routers } = this;
    const follower = new ConfigurationFollower(context, {
      store: { read: (known, waitMs, onProgress) => routers.readStore(this, known, waitMs, onProgress) },
      relays: { poll: (relay, known, waitMs) => routers.poll(this, relay.routerId, known, waitMs) },
      onDocument: ({ version }) => {
        assert.ok(version > (this.received?.version ?? 0), `router ${this.index} went back to ${version}`);
        this.received = { version, atMs: routers.timeline.nowMs };
        return true;
      },
    });
    context.loop.spawn('configuration', follower.run());
    this.beat();
    this.readMembership();
  }

  private beat(): void {
    if (this.storeReachable) {
      this.routers.beats.set(this.context.self.routerId, this.routers.timeline.nowMs);
    }
    this.context.loop.spawn(
      'heartbeat',
      this.routers.afterwards(this, HEARTBEAT_MS, () => {
        this.beat();
      }),
    );
  }

  private readMembership(): void {
    const { board, loop } = this.context;
    if (this.storeReachable) {
      const nowMs = loop.nowMs();
      if (nowMs - (board.storeLastReplyAtMs ?? nowMs) >= OUTAGE_MS) {
        board.storeRecoveredAtMs = nowMs;
        for (const abort of [...this.pendingReads]) {
          abort();
        }
      }
      board.storeLastReplyAtMs = nowMs;
      for (const [routerId, beatAtMs] of this.routers.beats) {
        if (this.beats.get(routerId) !== beatAtMs) {
          this.beats.set(routerId, beatAtMs);
          const entry = this.routers.find(routerId)?.context.self ?? this.context.self;
          board.routers.set(routerId, { entry, changedAtMs: nowMs });
        }
      }
    }
    loop.spawn(
      'membership',
      this.routers.afterwards(this, MEMBERSHIP_READ_MS, () => {
        this.readMembership();
      }),
    );
  }
}

/** Routers of two regions that run the production follower against a simulated store and simulated links. */
export class SimulatedRouters {
  readonly timeline = new Timeline();
  /** Time of the newest heartbeat in the store. */
  readonly beats = new Map<string, number>();
  readonly routers: SimulatedRouter[] = [];
  /** Documents that the store has sent, by the region of the reader. */
  readonly documentReads = { [Region.Near]: 0, [Region.Far]: 0 };
  pollCount = 0;
  /** False for relays of an older build, which pass on the document alone. */
  relaysKnowZones = true;
  private document: ConfigurationDocument | undefined;
  private zones: readonly string[] = [];
  /** Version of the last change of the evacuated zones. */
  private zonesVersion = 0;
  private storeVersion = 0;
  private oldestVersion = 0;
  private linkBusyUntilMs = 0;
  private readonly pendingReads = new Set<() => void>();

  constructor(
    readonly routerCount: number,
    readonly random: RandomSource,
  ) {}

  /** Starts all routers within a short time, as new processes. */
  startAll(): void {
    for (let index = 0; index < this.routerCount; index += 1) {
      this.start(index);
    }
  }

  start(index: number): void {
    const router = new SimulatedRouter(this, index, index % 2 === 0 ? Region.Near : Region.Far);
    this.routers[index] = router;
    this.timeline.schedule(this.random() * START_SPREAD_MS, () => {
      router.run(() => {
        router.start();
      });
    });
  }

  kill(index: number): void {
    const router = this.routers[index];
    if (router !== undefined) {
      router.alive = false;
      for (const reset of [...router.pendingPolls]) {
        reset();
      }
    }
  }

  find(routerId: string): SimulatedRouter | undefined {
    return this.routers.find(({ context }) => context.self.routerId === routerId);
  }

  /** Writes a document as the operator does; returns its version. */
  put(): number {
    this.storeVersion += 1;
    this.document = { version: this.storeVersion, text: `document ${this.storeVersion}` };
    for (const resume of [...this.pendingReads]) {
      resume();
    }
    return this.storeVersion;
  }

  /** Writes and removes the rows of evacuated zones as the operator does. */
  evacuate(zones: readonly string[]): void {
    this.storeVersion += 1;
    this.zones = zones;
    this.zonesVersion = this.storeVersion;
    for (const resume of [...this.pendingReads]) {
      resume();
    }
  }

  /** Other rows change, and the store discards the history before them. */
  truncateHistory(): void {
    this.storeVersion += 1_000;
    this.oldestVersion = this.storeVersion;
  }

  async advance(durationMs: number): Promise<void> {
    await this.timeline.advance(durationMs, () => undefined);
  }

  /** Runs until all the given routers have a version; returns the time that it took, or fails at the limit. */
  async spreadMs(version: number, limitMs: number, routers = this.routers): Promise<number> {
    const startedAtMs = this.timeline.nowMs;
    const late = (): SimulatedRouter[] =>
      routers.filter(({ received }) => (received?.version ?? 0) < version);
    while (late().length > 0 && this.timeline.nowMs - startedAtMs < limitMs) {
      await this.advance(50);
    }
    assert.deepEqual(
      late().map(({ index, received }) => ({ index, received })),
      [],
      `version ${version} is not everywhere after ${limitMs} ms`,
    );
    return Math.max(...routers.map(({ received }) => (received?.atMs ?? 0) - startedAtMs));
  }

  /** Task that calls back after a delay in the time of a router. */
  *afterwards(router: SimulatedRouter, delayMs: number, callback: () => void): ReturnType<GatewayTask> {
    yield { channels: [], deadlineMs: router.context.loop.nowMs() + delayMs };
    callback();
  }

  readStore(
    reader: SimulatedRouter,
    known: KnownDocument,
    waitMs: number,
    onProgress: () => void,
  ): Promise<Result<DocumentReading, string>> {
    return new Promise((resolve) => {
      let ended = false;
      const end = (result: Result<DocumentReading, string>): void => {
        ended = true;
        this.pendingReads.delete(check);
        reader.pendingReads.delete(abort);
        reader.run(() => {
          resolve(result);
        });
      };
      const abort = (): void => {
        if (!ended) {
          end(err('started while the store was unreachable'));
        }
      };
      const since = known.seenVersion;
      const reply = (): void => {
        if (ended || !reader.storeReachable || !reader.alive) {
          return;
        }
        this.pendingReads.delete(check);
        const document =
          this.document !== undefined && (since === undefined || this.document.version > since)
            ? this.document
            : undefined;
        const seenVersion = this.storeVersion;
        const evacuations = { zones: this.zones, version: seenVersion };
        const reading = { document, seenVersion, silentMs: 0, evacuations };
        let transferMs = STORE_ROUND_TRIP_MS[reader.region];
        if (document !== undefined || since === undefined) {
          this.documentReads[reader.region] += 1;
          reader.documentReads += 1;
          transferMs += ROUTER_LINK_TRANSFER_MS;
        }
        if (reader.region === Region.Far && document !== undefined) {
          this.linkBusyUntilMs =
            Math.max(this.linkBusyUntilMs, this.timeline.nowMs) + REGION_LINK_TRANSFER_MS;
          transferMs += this.linkBusyUntilMs - this.timeline.nowMs;
        }
        ended = true;
        reader.pendingReads.delete(abort);
        for (let atMs = STORE_ROUND_TRIP_MS[reader.region]; atMs < transferMs; atMs += PROGRESS_PERIOD_MS) {
          this.timeline.schedule(atMs, () => {
            reader.run(onProgress);
          });
        }
        this.timeline.schedule(transferMs, () => {
          end(reader.storeReachable ? ok(reading) : err('connection lost'));
        });
      };
      const check = (): void => {
        const changed =
          since === undefined ||
          since < this.oldestVersion ||
          this.zonesVersion > since ||
          (this.document !== undefined && this.document.version > since);
        if (changed) {
          reply();
        }
      };
      this.pendingReads.add(check);
      reader.pendingReads.add(abort);
      check();
      this.timeline.schedule(waitMs, reply);
      this.timeline.schedule(waitMs + STORE_TIMEOUT_MS, () => {
        if (!ended) {
          end(err('no reply'));
        }
      });
    });
  }

  poll(
    follower: SimulatedRouter,
    relayId: string,
    known: KnownDocument,
    waitMs: number,
  ): Promise<Result<DocumentReading | undefined, string>> {
    this.pollCount += 1;
    const relay = this.find(relayId);
    return new Promise((resolve) => {
      let ended = false;
      const end = (delayMs: number, result: Result<DocumentReading | undefined, string>): void => {
        if (!ended) {
          ended = true;
          relay?.pendingPolls.delete(reset);
          this.timeline.schedule(delayMs, () => {
            follower.run(() => {
              resolve(result);
            });
          });
        }
      };
      const reset = (): void => {
        end(PEER_ROUND_TRIP_MS, err('connection reset'));
      };
      const connected = (): boolean => follower.peersReachable && relay?.peersReachable === true;
      this.timeline.schedule(waitMs + POLL_TIMEOUT_MS, () => {
        end(0, err('no reply'));
      });
      if (relay === undefined || !connected()) {
        return;
      }
      if (!relay.alive) {
        end(PEER_ROUND_TRIP_MS, err('connection refused'));
        return;
      }
      const reply = (): void => {
        const { configurationDocument, evacuations: zones } = relay.context.board;
        const { document, seenVersion } = configurationDocument;
        const evacuations = this.relaysKnowZones ? zones.reading : undefined;
        const silentMs = documentSilentMs(relay.context);
        if (!connected()) {
          return;
        }
        if (seenVersion === undefined || silentMs === undefined) {
          end(PEER_ROUND_TRIP_MS, ok(undefined));
          return;
        }
        if (document === undefined || document.version <= (known.documentVersion ?? 0)) {
          end(PEER_ROUND_TRIP_MS, ok({ document: undefined, seenVersion, silentMs, evacuations }));
          return;
        }
        const { nowMs } = this.timeline;
        relay.uplinkBusyUntilMs = Math.max(relay.uplinkBusyUntilMs, nowMs) + COMPRESSED_TRANSFER_MS;
        const transferMs = relay.uplinkBusyUntilMs - nowMs;
        end(
          PEER_ROUND_TRIP_MS + transferMs,
          ok({ document, seenVersion, silentMs: silentMs + transferMs, evacuations }),
        );
      };
      relay.pendingPolls.add(reset);
      relay.run(() => {
        relay.context.loop.spawn(
          'poll',
          (function* () {
            const deadlineMs = relay.context.loop.nowMs() + waitMs;
            yield* waitForNewerDocument(
              relay.context,
              known.documentVersion ?? 0,
              deadlineMs,
              known.evacuations?.version ?? 0,
            );
            reply();
          })(),
        );
      });
    });
  }
}

type GatewayTask = ConfigurationFollower['run'];
