import type { GatewayContext } from '../context.ts';
import { isRecentRouter } from '../membership/entryAddresses.ts';
import { LogLevel } from '../observability/log.ts';
import type { UpstreamEntry } from '../types.ts';
import type { AllowanceShare, ColdLimits } from './coldAllowance.ts';
import { chooseShare, ColdPace, isMembershipSettled } from './coldAllowance.ts';
import { coldEndMs, EntryArrival } from './coldEnd.ts';
import { upstreamsOfFailedZone } from './unresponsiveZone.ts';
import type { UpstreamView } from './upstreamView.ts';

/** What showed that an upstream is cold. */
export enum ColdSource {
  /** Its entry in the register states a remaining time. */
  Register = 'register',
  /** It appeared in the register. */
  Appearance = 'appearance',
  /** It refused connections or did not respond, and may have started again since. */
  Unresponsive = 'unresponsive',
  /** Other upstreams of its zone did not respond, and none of them has since. */
  UnresponsiveZone = 'unresponsive-zone',
  /** Its availability zone is no longer evacuated. */
  EvacuationEnd = 'evacuation-end',
}

interface ColdRecord {
  readonly source: ColdSource;
  /** Monotonic time from which the requests are timed. */
  readonly startedAtMs: number;
  /** Undefined before the first request. */
  pace: ColdPace | undefined;
  /** This router's share of the requests, and the monotonic time at which it was computed. */
  share: AllowanceShare;
  shareAtMs: number;
  /** Monotonic end of the cold time as of the removal of the upstream; -Infinity while it is registered. */
  carriedUntilMs: number;
}

/** The cold upstreams by id, also for the rest of the cold time after a removal. */
export type ColdRecords = Map<string, ColdRecord>;

/** The part of the gateway context that the functions of this module use. */
export type ColdContext = Pick<GatewayContext, 'log' | 'metrics'> & {
  readonly board: Pick<
    GatewayContext['board'],
    | 'coldRecords'
    | 'configuration'
    | 'draining'
    | 'membershipReads'
    | 'routers'
    | 'storeLastReplyAtMs'
    | 'storeRecoveredAtMs'
    | 'upstreams'
  >;
  readonly loop: Pick<GatewayContext['loop'], 'nowMs'>;
  readonly options: Pick<GatewayContext['options'], 'coldBound' | 'routerSilentMs'>;
};

/** What the allowance of this router depends on as well. */
export type ColdFilterContext = ColdContext & {
  readonly self: Pick<GatewayContext['self'], 'routerId'>;
};

/** Time for which a computed share is used: short compared with the time in which the membership is read. */
const SHARE_LIFETIME_MS = 500;
/** Entries of the register arrive at most this long after they were written. */
const ENTRY_LAG_MS = 2_000;
/** Time after the last sign of an unresponsive engine from which it is no longer expected to come back cold. */
const UNRESPONSIVE_LIMIT_MS = 10_000;

/** Limits of the cold engines of a service; undefined if the deployment or the service has none. */
function coldLimits({ board, options }: ColdContext, serviceName: string): ColdLimits | undefined {
  const warmup = board.configuration?.services.get(serviceName)?.warmup;
  return options.coldBound === undefined || warmup === undefined
    ? undefined
    : { ...options.coldBound, requestsPerSecond: warmup.requestsPerSecond };
}

/**
 * Time for which engines of a service are cold after a start; 0 if that is not known before the first configuration,
 * undefined if the deployment or the service has no cold engines.
 */
export function warmupMsOf({ board, options }: ColdContext, serviceName: string): number | undefined {
  if (options.coldBound === undefined) {
    return undefined;
  }
  return board.configuration === undefined
    ? 0
    : board.configuration.services.get(serviceName)?.warmup?.durationMs;
}

/** Records that an upstream is cold. Requests that wait for a connection to it go elsewhere. */
export function recordCold(
  context: ColdContext,
  view: UpstreamView,
  untilMs: number,
  source: ColdSource,
): void {
  const wasCold = view.isCold(context.loop.nowMs());
  view.markCold(untilMs);
  startCold(context, view, wasCold, source);
}

function startCold(context: ColdContext, view: UpstreamView, wasCold: boolean, source: ColdSource): void {
  const { log, loop, metrics } = context;
  const nowMs = loop.nowMs();
  if (wasCold || !view.isCold(nowMs)) {
    return;
  }
  const { upstreamId, serviceName, startTimeMs } = view.entry;
  const previous = context.board.coldRecords.get(upstreamId);
  if (previous === undefined || previous.carriedUntilMs <= nowMs) {
    createRecord(context, upstreamId, source);
  }
  metrics.count('pimentostall_upstreams_cold_total', `source="${source}"`);
  log(LogLevel.Info, 'upstream is cold', {
    upstream: upstreamId,
    service: serviceName,
    source,
    startTimeMs,
    leftMs: Math.round(view.coldEndMs - nowMs),
    inFlight: view.inFlight,
  });
  view.withdrawUnsentAttempts();
}

/** Records that an upstream refused a connection or did not respond. It may come back as a new process, cold. */
export function recordUnresponsive(context: ColdContext, view: UpstreamView): void {
  const warmupMs = warmupMsOf(context, view.entry.serviceName);
  if (warmupMs === undefined) {
    return;
  }
  const nowMs = context.loop.nowMs();
  const mark = (upstream: UpstreamView, source: ColdSource): void => {
    const wasCold = upstream.isCold(nowMs);
    upstream.markUnresponsive(nowMs, nowMs + UNRESPONSIVE_LIMIT_MS + warmupMs);
    startCold(context, upstream, wasCold, source);
  };
  mark(view, ColdSource.Unresponsive);
  for (const upstream of upstreamsOfFailedZone(view, context.board.upstreams.values(), nowMs)) {
    mark(upstream, ColdSource.UnresponsiveZone);
  }
}

/** Records a response of an upstream. One that was unresponsive is cold from now on. */
export function recordResponse(context: ColdContext, view: UpstreamView): void {
  const warmupMs = warmupMsOf(context, view.entry.serviceName);
  if (warmupMs !== undefined && view.isUnresponsive(context.loop.nowMs())) {
    view.endUnresponsive(context.loop.nowMs() + warmupMs);
  }
}

export interface EntryReading {
  readonly arrival: EntryArrival;
  /** Version of the row that held the entry. */
  readonly version: number;
  /** Unix time of the reading. */
  readonly wallNowMs: number;
}

/** Records what an entry of the register tells about the cold time of its upstream, whose view has that entry. */
export function recordEntryReading(
  context: ColdContext,
  view: UpstreamView,
  { arrival, version, wallNowMs }: EntryReading,
): void {
  const { board, loop } = context;
  const { entry } = view;
  const warmupMs = warmupMsOf(context, entry.serviceName);
  if (warmupMs === undefined || version <= view.entryVersion) {
    // A whole reading repeats entries whose remaining time counts from the first one.
    return;
  }
  view.entryVersion = version;
  const nowMs = loop.nowMs();
  const carriedUntilMs = board.coldRecords.get(entry.upstreamId)?.carriedUntilMs ?? -Infinity;
  const untilMs = Math.max(carriedUntilMs, coldEndMs({ entry, arrival, warmupMs, nowMs, wallNowMs }));
  if (view.isUnresponsive(nowMs) && nowMs - view.unresponsiveAtMs >= ENTRY_LAG_MS) {
    // The entry was written after the upstream had been unresponsive.
    view.endUnresponsive(nowMs + warmupMs);
  }
  if (untilMs > nowMs) {
    const isStated = arrival === EntryArrival.Heartbeat || entry.warmupLeftMs > 0;
    recordCold(context, view, untilMs, isStated ? ColdSource.Register : ColdSource.Appearance);
  }
  const record = board.coldRecords.get(entry.upstreamId);
  if (record !== undefined) {
    record.carriedUntilMs = -Infinity;
  }
}

/** Keeps the end of the cold time of an upstream that is removed, or whose view is replaced, for its return. */
export function carryColdEnd({ board, loop }: ColdContext, view: UpstreamView): void {
  const record = board.coldRecords.get(view.entry.upstreamId);
  if (record !== undefined && view.isCold(loop.nowMs())) {
    record.carriedUntilMs = view.coldEndMs;
  }
}

function createRecord({ board, loop }: ColdContext, upstreamId: string, source: ColdSource): ColdRecord {
  const { coldRecords } = board;
  const nowMs = loop.nowMs();
  for (const [id, { carriedUntilMs }] of coldRecords) {
    if (!board.upstreams.has(id) && carriedUntilMs <= nowMs) {
      coldRecords.delete(id);
    }
  }
  const record: ColdRecord = {
    source,
    startedAtMs: nowMs,
    pace: undefined,
    share: { kind: 'none' },
    shareAtMs: -Infinity,
    carriedUntilMs: -Infinity,
  };
  coldRecords.set(upstreamId, record);
  return record;
}

/** This router's share now; none while its view of the membership may be wrong. */
function currentShare(
  context: ColdFilterContext,
  record: ColdRecord,
  { upstreamId }: UpstreamEntry,
  limits: ColdLimits,
): AllowanceShare {
  const { board, loop, options, self } = context;
  const nowMs = loop.nowMs();
  if (board.draining || !isMembershipSettled(board.membershipReads, board.storeRecoveredAtMs, nowMs)) {
    return { kind: 'none' };
  }
  if (nowMs - record.shareAtMs >= SHARE_LIFETIME_MS) {
    // Readiness changes at once and for many routers together, whereas a row is known before its router may send.
    const others = [...board.routers.values()]
      .filter((view) => isRecentRouter(view, nowMs, board, options))
      .map(({ entry }) => entry.routerId)
      .filter((routerId) => routerId !== self.routerId);
    record.share = chooseShare(upstreamId, self.routerId, others, limits);
    record.shareAtMs = nowMs;
  }
  return record.share;
}

/** Decides for one placement which upstreams are withheld from the request because they are cold. */
export class ColdFilter {
  private withheldCount = 0;
  private soonestAtMs = Infinity;

  constructor(private readonly context: ColdFilterContext) {}

  /** Called for each upstream that could take the request otherwise. */
  isWithheld(view: UpstreamView): boolean {
    const { board, log, loop, self } = this.context;
    const nowMs = loop.nowMs();
    const { upstreamId, serviceName } = view.entry;
    if (!view.isCold(nowMs)) {
      const record = board.coldRecords.size === 0 ? undefined : board.coldRecords.get(upstreamId);
      if (record !== undefined) {
        board.coldRecords.delete(upstreamId);
        log(LogLevel.Info, 'upstream is warm again', { upstream: upstreamId, source: record.source });
      }
      return false;
    }
    const limits = coldLimits(this.context, serviceName);
    if (limits === undefined) {
      return false;
    }
    // Only the end of an evacuation marks an upstream without a record.
    const record =
      board.coldRecords.get(upstreamId) ?? createRecord(this.context, upstreamId, ColdSource.EvacuationEnd);
    const share = currentShare(this.context, record, view.entry, limits);
    record.pace ??= new ColdPace(`${self.routerId}|${upstreamId}`, record.startedAtMs);
    if (record.pace.maySend(share, nowMs)) {
      return false;
    }
    this.withheldCount += 1;
    const nextAtMs = record.pace.nextAtMs(share);
    this.soonestAtMs = Math.min(
      this.soonestAtMs,
      view.coldEndMs,
      Number.isFinite(nextAtMs) ? Math.max(nextAtMs, nowMs) : nowMs + WINDOW_OF_OTHERS_MS,
    );
    return true;
  }

  /** Counts the placement if a cold upstream was withheld from it. */
  recordPlacement(isPlaced: boolean): void {
    if (this.withheldCount > 0) {
      this.context.metrics.count(
        'pimentostall_requests_withheld_from_cold_total',
        `outcome="${isPlaced ? 'sent-elsewhere' : 'refused'}"`,
      );
    }
  }

  /** Monotonic time of the next allowance, by which callers return; undefined if nothing was withheld. */
  get nextAllowanceAtMs(): number | undefined {
    return this.withheldCount > 0 ? this.soonestAtMs : undefined;
  }
}

/** Time after which another router, which the caller may reach, has an allowance. */
const WINDOW_OF_OTHERS_MS = 1_000;

/** An attempt at an upstream that is cold when it begins. */
export interface ColdAttempt {
  recordSent(): void;
  /** Called with the response, or when the attempt ends without one. */
  end(): void;
}

/** Counts an attempt against the allowance; undefined if its upstream is not cold or the part is disabled. */
export function beginColdAttempt(context: ColdContext, view: UpstreamView): ColdAttempt | undefined {
  const { board, loop } = context;
  const { upstreamId, serviceName } = view.entry;
  const pace = board.coldRecords.get(upstreamId)?.pace;
  if (pace === undefined || !view.isCold(loop.nowMs()) || coldLimits(context, serviceName) === undefined) {
    return undefined;
  }
  pace.begin(loop.nowMs());
  let hasEnded = false;
  return {
    recordSent: () => {
      pace.recordSent(loop.nowMs());
    },
    end: () => {
      if (!hasEnded) {
        hasEnded = true;
        pace.end();
      }
    },
  };
}
