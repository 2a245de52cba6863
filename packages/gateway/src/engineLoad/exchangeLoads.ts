import type { Task } from '@pimentostall/core';
import { receive, rendezvousOrder } from '@pimentostall/core';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import type { EngineLoadContext } from './engineLoadState.ts';
import { isSharingLoads, ownLoads } from './engineLoadState.ts';
import type { LoadCollectors } from './loadCollectors.ts';
import { loadCollectors } from './loadCollectors.ts';
import type { EngineLoads } from './loadSums.ts';
import { forEachLoad } from './loadSums.ts';
import type { EngineLoadOptions } from './options.ts';
import { DEFAULT_ENGINE_LOAD } from './options.ts';
import type { LoadMessage, LoadPort } from './types.ts';
import { LoadScope } from './types.ts';

/** Period of choosing the collectors anew; heartbeats tell of dead routers no sooner. */
const CHOICE_PERIOD_MS = 1_000;
/** Collectors that are tried for one post; each one that does not reply delays the next. */
const MAX_TRIES = 3;

/**
 * Shares the loads of engines with the other routers. Answers the load of many routers in front of busy engines, each of
 * which knows only its own few requests: a router posts its counts to a collector of its region after it has placed
 * requests, and the reply holds the sums of all others. Collectors exchange their sums while their routers have
 * requests in flight. Without requests nothing is sent.
 */
export class LoadExchange {
  private choice: LoadCollectors = { all: [], order: [], count: 0 };
  private chosenAtMs = -Infinity;
  private readonly pausedUntilMs = new Map<string, number>();
  private lastPostAtMs = -Infinity;
  /** Earliest time of the next post that keeps to the interval, of which one may be ahead. */
  private nextIntervalAtMs = -Infinity;
  private nextExchangeAtMs = -Infinity;
  private lastReplyAtMs: number | undefined;
  private collectorId: string | undefined;
  /** False after no collector has replied, so that it is logged once. */
  private hasCollector = true;

  constructor(
    private readonly context: EngineLoadContext,
    private readonly port: LoadPort,
    private readonly options: EngineLoadOptions = DEFAULT_ENGINE_LOAD,
  ) {}

  *run(): Task<void> {
    const { board, loop } = this.context;
    const { wakes } = board.engineLoad;
    let dueAtMs = Infinity;
    while (!board.stopped) {
      yield* receive(wakes, dueAtMs);
      while (wakes.size > 0) {
        wakes.take();
      }
      if (!isSharingLoads(this.context)) {
        dueAtMs = Infinity;
        continue;
      }
      this.chooseCollectors();
      board.engineLoad.isCollector = this.isCollecting();
      if (board.engineLoad.isCollector) {
        dueAtMs = this.exchangeSums();
        continue;
      }
      if (this.postDueAtMs() <= loop.nowMs()) {
        yield* this.post();
      }
      dueAtMs = this.postDueAtMs();
    }
  }

  /** Whether other routers post to this one, or should. */
  private isCollecting(): boolean {
    const { board, loop, self } = this.context;
    const { collected } = board.engineLoad;
    collected.expire(loop.nowMs());
    const isChosen = this.choice.all.some(({ routerId }) => routerId === self.routerId);
    return isChosen || collected.hasSourceBeside(self.routerId);
  }

  private chooseCollectors(): void {
    const nowMs = this.context.loop.nowMs();
    if (nowMs - this.chosenAtMs >= CHOICE_PERIOD_MS) {
      this.chosenAtMs = nowMs;
      this.choice = loadCollectors(this.context, this.options);
      for (const [routerId, untilMs] of this.pausedUntilMs) {
        if (nowMs >= untilMs) {
          this.pausedUntilMs.delete(routerId);
        }
      }
    }
  }

  private isPaused({ routerId }: RouterEntry): boolean {
    return this.context.loop.nowMs() < (this.pausedUntilMs.get(routerId) ?? -Infinity);
  }

  /** Time of the next post if no more counts change; Infinity without requests in flight. */
  private postDueAtMs(): number {
    const { busyViews, hasUnposted, unpostedTokens } = this.context.board.engineLoad;
    const { largeChangeTokens, postIntervalMs, refreshPeriodMs, smallChangeDelayMs } = this.options;
    if (!hasUnposted) {
      return busyViews.size === 0 ? Infinity : this.lastPostAtMs + refreshPeriodMs;
    }
    const delayMs = unpostedTokens >= largeChangeTokens ? 0 : smallChangeDelayMs;
    return Math.max(this.nextIntervalAtMs - postIntervalMs, this.lastPostAtMs + delayMs);
  }

  /** Posts the own counts to the first collector that replies. */
  private *post(): Task<void> {
    const { board, loop, metrics, self } = this.context;
    const { engineLoad } = board;
    for (const collector of this.collectorsInOrder()) {
      const postedAtMs = loop.nowMs();
      this.lastPostAtMs = postedAtMs;
      this.nextIntervalAtMs = Math.max(this.nextIntervalAtMs, postedAtMs) + this.options.postIntervalMs;
      engineLoad.hasUnposted = false;
      engineLoad.unpostedTokens = 0;
      const message = { scope: LoadScope.Router, senderId: self.routerId, loads: ownLoads(engineLoad) };
      const reply = yield* loop.settled(this.port.post(collector, message));
      metrics.count(
        'pimentostall_engine_load_posts_total',
        reply === undefined ? 'result="failed"' : 'result="answered"',
      );
      if (reply !== undefined) {
        this.recordCollector(collector.routerId);
        this.apply(reply, postedAtMs);
        return;
      }
      this.pausedUntilMs.set(collector.routerId, loop.nowMs() + this.options.failedPauseMs);
    }
    this.recordCollector(undefined);
  }

  /** Collectors in the order in which this router tries them, so that the routers spread over them. */
  private collectorsInOrder(): RouterEntry[] {
    const { self } = this.context;
    const others = this.choice.order.filter(
      (router) => router.routerId !== self.routerId && !this.isPaused(router),
    );
    const first = others.slice(0, this.choice.count);
    const byId = new Map(first.map((router) => [router.routerId, router]));
    return rendezvousOrder(self.routerId, [...byId.keys()])
      .slice(0, MAX_TRIES)
      .flatMap((routerId) => byId.get(routerId) ?? []);
  }

  private recordCollector(routerId: string | undefined): void {
    const { log } = this.context;
    if (routerId === undefined) {
      if (this.hasCollector) {
        log(LogLevel.Warn, 'no load collector replies; placing by own requests', {
          previous: this.collectorId,
        });
      }
    } else if (routerId !== this.collectorId || !this.hasCollector) {
      log(LogLevel.Info, 'load collector changed', { collector: routerId, previous: this.collectorId });
    }
    this.hasCollector = routerId !== undefined;
    this.collectorId = routerId ?? this.collectorId;
  }

  /** Sends the collected sums to the other collectors that are due; returns the time of the next exchange. */
  private exchangeSums(): number {
    const { board, loop, self } = this.context;
    const { engineLoad } = board;
    const nowMs = loop.nowMs();
    if (nowMs < this.nextExchangeAtMs) {
      return this.nextExchangeAtMs;
    }
    const { exchangePeriodMs } = this.options;
    refreshOwnContribution(this.context);
    engineLoad.exchanged.expire(nowMs);
    for (const peer of this.choice.all) {
      if (peer.routerId !== self.routerId && !this.isPaused(peer) && this.isExchangeDue(peer)) {
        engineLoad.exchangedAtMs.set(peer.routerId, nowMs);
        void this.exchangeWith(peer);
      }
    }
    this.apply(engineLoad.collected.totalWith(engineLoad.exchanged, self.routerId), nowMs);
    this.nextExchangeAtMs = loop.nearestTickMs(exchangePeriodMs);
    return engineLoad.collected.hasLoad || engineLoad.hasUnposted ? this.nextExchangeAtMs : Infinity;
  }

  private isExchangeDue({ region, routerId }: RouterEntry): boolean {
    const { board, loop, self } = this.context;
    const { exchangePeriodMs, otherRegionPeriodMs } = this.options;
    const periodMs = region === self.region ? exchangePeriodMs : otherRegionPeriodMs;
    const lastAtMs = board.engineLoad.exchangedAtMs.get(routerId) ?? -Infinity;
    // Half a period of tolerance: both collectors of a pair have a timer, and one message in a period is enough.
    return loop.nowMs() - lastAtMs >= periodMs - exchangePeriodMs / 2;
  }

  /** Does not reject. */
  private async exchangeWith(peer: RouterEntry): Promise<void> {
    const { board, loop, metrics, self } = this.context;
    const { collected, exchanged } = board.engineLoad;
    const message = { scope: LoadScope.Collector, senderId: self.routerId, loads: collected.total() };
    const reply = await this.port.post(peer, message);
    metrics.count(
      'pimentostall_engine_load_exchanges_total',
      reply === undefined ? 'result="failed"' : 'result="answered"',
    );
    if (reply === undefined) {
      this.pausedUntilMs.set(peer.routerId, loop.nowMs() + this.options.failedPauseMs);
    } else {
      exchanged.replace(peer.routerId, reply, loop.nowMs());
    }
  }

  /** Gives the sums of the other routers to placement. */
  private apply(loads: EngineLoads, atMs: number): void {
    const { board, metrics } = this.context;
    const loadsByKey = new Map<number, readonly [pendingTokens: number, inFlight: number]>();
    forEachLoad(loads, (key, pendingTokens, inFlight) => {
      loadsByKey.set(key, [pendingTokens, inFlight]);
    });
    for (const { loadKey, remoteLoad } of board.upstreams.values()) {
      const [pendingTokens, inFlight] = loadsByKey.get(loadKey) ?? [0, 0];
      remoteLoad.set(pendingTokens, inFlight, this.context.loop.nowMs(), atMs + this.options.expiryMs);
    }
    if (this.lastReplyAtMs !== undefined && atMs - this.lastReplyAtMs < this.options.expiryMs) {
      metrics.count('pimentostall_engine_load_age_ms_sum', '', Math.round(atMs - this.lastReplyAtMs));
      metrics.count('pimentostall_engine_load_age_ms_count');
    }
    this.lastReplyAtMs = atMs;
  }
}

function refreshOwnContribution({ board, loop, self }: EngineLoadContext): void {
  const { engineLoad } = board;
  engineLoad.hasUnposted = false;
  engineLoad.unpostedTokens = 0;
  engineLoad.collected.replace(self.routerId, ownLoads(engineLoad), loop.nowMs());
}

/** Handles the message of another router. Returns the loads of the reply, or undefined if loads are not shared here. */
export function receiveLoads(
  context: EngineLoadContext,
  { scope, senderId, loads }: LoadMessage,
): EngineLoads | undefined {
  const { board, loop, self } = context;
  const { collected, exchanged, exchangedAtMs, wakes } = board.engineLoad;
  if (!isSharingLoads(context) || senderId === self.routerId) {
    return undefined;
  }
  const nowMs = loop.nowMs();
  collected.expire(nowMs);
  exchanged.expire(nowMs);
  switch (scope) {
    case LoadScope.Router:
      refreshOwnContribution(context);
      collected.replace(senderId, loads, nowMs);
      if (wakes.size === 0) {
        loop.push(wakes, true);
      }
      return collected.totalWith(exchanged, senderId);
    case LoadScope.Collector:
      if (board.engineLoad.isCollector) {
        refreshOwnContribution(context);
      }
      exchanged.replace(senderId, loads, nowMs);
      exchangedAtMs.set(senderId, nowMs);
      return collected.total();
  }
}
