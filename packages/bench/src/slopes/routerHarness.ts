import type {
  CoreEvent,
  CoreOptions,
  Effect,
  ClockReading,
  TableOutcome,
  TableRow,
  VmRow,
} from '@pimentostall/core';
import {
  EffectKind,
  EventKind,
  RouterCore,
  RouterState,
  seededRandom,
  TableOutcomeKind,
} from '@pimentostall/core';
import { parseConfigurationSections } from '@pimentostall/settings';
import { applyDocument } from './configurationModel.ts';
import {
  createHeartbeat,
  routerIdentity,
  vmRow,
  regionPeerIndexes,
  peerSender,
  createShareLevels,
} from './fleetModel.ts';

/** Longest interval between two steps of the core; the shell steps it at least this often. */
const STEP_INTERVAL_MS = 250;
const WALL_START_MS = 1_700_000_000_000;

export interface TableCounts {
  reads: number;
  rowsRead: number;
  scans: number;
  commits: number;
  rowsWritten: number;
  conflicts: number;
  /** Size of calls and replies as JSON; counted only on demand, because serialisation would distort the timings. */
  bytes: number;
}

/** Runs the router core with an in-memory table and a simulated clock; replies are delivered with the next step. */
export class RouterHarness {
  readonly table = new Map<string, TableRow>();
  readonly counts: TableCounts = {
    reads: 0,
    rowsRead: 0,
    scans: 0,
    commits: 0,
    rowsWritten: 0,
    conflicts: 0,
    bytes: 0,
  };
  readonly core: RouterCore;
  members: readonly VmRow[] = [];
  nowMs = 0;
  byteCountEnabled = false;
  private pendingReplies: CoreEvent[] = [];

  constructor(index = 0, options: Partial<CoreOptions> = {}) {
    this.core = new RouterCore({
      identity: routerIdentity(index),
      random: seededRandom(index + 1),
      clock: this.clock,
      parseConfiguration: parseConfigurationSections,
      options,
    });
  }

  get clock(): ClockReading {
    return { monotonicMs: this.nowMs, wallMs: WALL_START_MS + this.nowMs };
  }

  step(events: readonly CoreEvent[] = []): readonly Effect[] {
    const all = this.pendingReplies.length === 0 ? events : [...this.pendingReplies, ...events];
    this.pendingReplies = [];
    const { effects } = this.core.step(all, this.clock);
    for (const effect of effects) {
      this.executeEffect(effect);
    }
    return effects;
  }

  /** Advances the clock, delivers replies to the calls of the router and returns the effects of all steps. */
  advance(durationMs: number): Effect[] {
    const effects: Effect[] = [];
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs = Math.min(endMs, this.nowMs + STEP_INTERVAL_MS);
      effects.push(...this.step());
      while (this.pendingReplies.length > 0) {
        effects.push(...this.step());
      }
    }
    return effects;
  }

  private countBytes(value: unknown): void {
    if (this.byteCountEnabled) {
      this.counts.bytes += Buffer.byteLength(JSON.stringify(value));
    }
  }

  private executeEffect(effect: Effect): void {
    switch (effect.kind) {
      case EffectKind.TableRead:
        this.counts.reads += 1;
        this.countBytes({ keys: effect.keys });
        this.counts.rowsRead += effect.keys.length;
        this.queueTableReply(effect.callId, this.rows(effect.keys));
        return;
      case EffectKind.TableScan: {
        this.counts.scans += 1;
        const keys = [...this.table.keys()].filter((key) => key.startsWith(effect.keyPrefix));
        this.queueTableReply(effect.callId, this.rows(keys));
        return;
      }
      case EffectKind.TableCommit:
        this.queueTableReply(effect.callId, this.commit(effect));
        return;
      case EffectKind.MembershipRead:
        this.pendingReplies.push({
          kind: EventKind.MembershipReply,
          callId: effect.callId,
          rows: this.members,
        });
        return;
      default:
        return;
    }
  }

  private queueTableReply(callId: string, outcome: TableOutcome): void {
    this.countBytes(outcome);
    this.pendingReplies.push({ kind: EventKind.TableReply, callId, outcome });
  }

  private rows(keys: readonly string[]): TableOutcome {
    return { kind: TableOutcomeKind.Rows, rows: keys.flatMap((key) => this.table.get(key) ?? []) };
  }

  private commit({ transaction }: Extract<Effect, { kind: EffectKind.TableCommit }>): TableOutcome {
    const { checks, writes } = transaction;
    this.countBytes(transaction);
    const stale = checks.some((check) => (this.table.get(check.key)?.version ?? 0) !== check.expectedVersion);
    if (stale) {
      this.counts.conflicts += 1;
      return { kind: TableOutcomeKind.Conflict, rows: [] };
    }
    this.counts.commits += 1;
    this.counts.rowsWritten += writes.length;
    for (const { key, value } of writes) {
      const version = (this.table.get(key)?.version ?? 0) + 1;
      this.table.set(key, { key, version, value: value ?? null });
    }
    return { kind: TableOutcomeKind.Committed };
  }
}

/** Delivers one heartbeat from each peer in a single step. */
export function deliverHeartbeats(router: RouterHarness, peers: readonly number[], levelCount: number): void {
  const levels = createShareLevels(levelCount);
  router.step(
    peers.map((index) => ({
      kind: EventKind.PeerReceived,
      sender: peerSender(index),
      message: createHeartbeat(index, levels),
    })),
  );
}

/** A registered router in state Live that has just received heartbeats from all peers of its region. */
export function createRouterInFleet(
  routerCount: number,
  levelCount = 0,
  options: Partial<CoreOptions> = {},
): RouterHarness {
  const router = new RouterHarness(0, options);
  router.members = Array.from({ length: routerCount }, (_, index) => vmRow(index));
  router.advance(1_000);
  applyDocument(router, {});
  router.core.board.routerState = RouterState.Live;
  deliverHeartbeats(router, regionPeerIndexes(routerCount), levelCount);
  return router;
}
