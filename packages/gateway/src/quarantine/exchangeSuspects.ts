import type { RandomSource, Task } from '@pimentostall/core';
import { receive, sleepUntil } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { isRecentRouter } from '../membership/entryAddresses.ts';
import type { RouterEntry } from '../types.ts';
import { applySuspectChanges } from './applySuspectChanges.ts';
import type { SuspectNews } from './quarantineState.ts';
import { SuspectNewsKind } from './quarantineState.ts';
import type { SuspectMessage, SuspectReport } from './types.ts';

/** Maximum number of reports in one message, which bounds its size. */
export const MAX_REPORTS = 128;
/** Routers that are asked for their records at the same time by one that may have missed news. */
const RESYNC_PEERS = 2;
/** Attempts to find a router that replies; together they outlast the start of a fleet. */
const MAX_RESYNC_ATTEMPTS = 12;

/**
 * Spreads what routers know about suspects. Answers the load of engines that crash at any router's request: news goes to
 * a few random routers, each of which passes on what is new to it, and while there are records each router exchanges all
 * of them with one random router, which reaches those that were cut off or have just started; seldom once nothing
 * changes any more. Without records, nothing is sent.
 */
export function* exchangeSuspects(context: GatewayContext): Task<void> {
  const { board, loop, options } = context;
  const { news, table } = board.quarantine;
  const { newsDelayMs, newsFanout } = options.quarantine;
  let nextExchangeAtMs = Infinity;
  while (!board.stopped) {
    const first = yield* receive(news, nextExchangeAtMs);
    if (first !== undefined) {
      yield* sleepUntil(loop.nowMs() + newsDelayMs);
      const items = [first, ...takeAll(context)];
      const partIds = new Set(
        items.flatMap((item) => (item.kind === SuspectNewsKind.Changed ? [item.partId] : [])),
      );
      if (partIds.size > 0) {
        const reports = boundReports(table.reports(loop.nowMs(), partIds));
        send(context, { reports, wantsReply: false }, newsFanout);
      }
      if (items.some(({ kind }) => kind === SuspectNewsKind.Resync)) {
        loop.spawn('suspects resync', resync(context));
      }
    }
    const nowMs = loop.nowMs();
    if (nowMs >= nextExchangeAtMs) {
      send(context, { reports: boundReports(table.reports(nowMs)), wantsReply: true }, 1);
      nextExchangeAtMs = Infinity;
    }
    nextExchangeAtMs = Math.min(nextExchangeAtMs, exchangeDueAtMs(context));
  }
}

/** Time of the next exchange of all records if nothing is due before; Infinity without records. */
function exchangeDueAtMs({ board, loop, options }: GatewayContext): number {
  const { calmExchangePeriodMs, exchangePeriodMs, recentChangeMs } = options.quarantine;
  const nowMs = loop.nowMs();
  const changedAtMs = board.quarantine.table.newestChangeAtMs(nowMs);
  if (changedAtMs === undefined) {
    return Infinity;
  }
  const isRecent = nowMs - changedAtMs < recentChangeMs;
  return loop.nearestTickMs(isRecent ? exchangePeriodMs : calmExchangePeriodMs);
}

/** Applies reports of another router, and returns the records that it may lack if it wants them. */
export function receiveSuspects(
  context: GatewayContext,
  { reports, wantsReply }: SuspectMessage,
  source: string,
): readonly SuspectReport[] {
  const { board, loop } = context;
  const { table } = board.quarantine;
  for (const report of reports) {
    applySuspectChanges(context, table.merge(report, loop.nowMs()), source);
  }
  return wantsReply ? boundReports(table.reports(loop.nowMs())) : [];
}

/** Tells the exchange that this router may have missed news. */
export function requestSuspectResync({ board, loop }: GatewayContext): void {
  loop.push(board.quarantine.news, { kind: SuspectNewsKind.Resync });
}

/** Keeps quarantined parts if there are more reports than fit into a message. */
function boundReports(reports: readonly SuspectReport[]): readonly SuspectReport[] {
  const rank = ({ probation }: SuspectReport): number => (probation === undefined ? 1 : 0);
  return [...reports].sort((a, b) => rank(a) - rank(b)).slice(0, MAX_REPORTS);
}

function takeAll({ board }: GatewayContext): SuspectNews[] {
  const { news } = board.quarantine;
  const items: SuspectNews[] = [];
  for (let item = news.take(); item !== undefined; item = news.take()) {
    items.push(item);
  }
  return items;
}

function* resync(context: GatewayContext): Task<void> {
  const { board, loop, options } = context;
  for (let attempt = 0; attempt < MAX_RESYNC_ATTEMPTS && !board.stopped; attempt += 1) {
    const reports = boundReports(board.quarantine.table.reports(loop.nowMs()));
    const message: SuspectMessage = { reports, wantsReply: true };
    const replies = choosePeers(context, RESYNC_PEERS).map((peer) => exchange(context, peer, message));
    const replied = yield* loop.settled(Promise.all(replies));
    if (replied.includes(true)) {
      return;
    }
    yield* sleepUntil(loop.nearestTickMs(options.quarantine.exchangePeriodMs));
  }
}

function send(context: GatewayContext, message: SuspectMessage, peerCount: number): void {
  for (const peer of choosePeers(context, peerCount)) {
    void exchange(context, peer, message);
  }
}

/** Does not reject. Returns whether the peer replied. */
async function exchange(
  context: GatewayContext,
  peer: RouterEntry,
  message: SuspectMessage,
): Promise<boolean> {
  const reports = await context.suspectPort.exchange(peer, message);
  if (reports === undefined) {
    return false;
  }
  receiveSuspects(context, { reports, wantsReply: false }, peer.routerId);
  return true;
}

function choosePeers({ board, loop, options, random, self }: GatewayContext, count: number): RouterEntry[] {
  const nowMs = loop.nowMs();
  const peers = [...board.routers.values()]
    .filter((view) => view.entry.routerId !== self.routerId && isRecentRouter(view, nowMs, board, options))
    .map(({ entry }) => entry);
  return chooseRandomly(peers, count, random);
}

function chooseRandomly<T>(items: T[], count: number, random: RandomSource): T[] {
  const chosen: T[] = [];
  while (chosen.length < count && items.length > 0) {
    chosen.push(...items.splice(Math.floor(random() * items.length), 1));
  }
  return chosen;
}
