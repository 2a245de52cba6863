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
import { configure } from './configurationModel.ts';
import { heartbeatOf, identityOf, memberOf, nearPeers, senderOf, shareLevelsOf } from './fleetModel.ts';

/** The shell steps the core at least this often. */
const STEP_INTERVAL_MS = 250;
const WALL_START_MS = 1_700_000_000_000;

export interface TableCounts {
  reads: number;
  rowsRead: number;
  scans: number;
  commits: number;
  rowsWritten: number;
  conflicts: number;
  /** JSON of the calls and answers; counted only on demand, because it costs time. */
  bytes: number;
}

/** A real core on an in-memory table and a clock of its own; answers arrive with the next step. */
export class DrivenRouter {
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
  countsBytes = false;
  private replies: CoreEvent[] = [];

  constructor(index = 0, options: Partial<CoreOptions> = {}) {
    this.core = new RouterCore({
      identity: identityOf(index),
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
    const all = this.replies.length === 0 ? events : [...this.replies, ...events];
    this.replies = [];
    const { effects } = this.core.step(all, this.clock);
    for (const effect of effects) {
      this.answer(effect);
    }
    return effects;
  }

  /** Lets time pass and answers the calls of the router; gives the effects of all steps. */
  advance(durationMs: number): Effect[] {
    const effects: Effect[] = [];
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs = Math.min(endMs, this.nowMs + STEP_INTERVAL_MS);
      effects.push(...this.step());
      while (this.replies.length > 0) {
        effects.push(...this.step());
      }
    }
    return effects;
  }

  private countBytes(value: unknown): void {
    if (this.countsBytes) {
      this.counts.bytes += Buffer.byteLength(JSON.stringify(value));
    }
  }

  private answer(effect: Effect): void {
    switch (effect.kind) {
      case EffectKind.TableRead:
        this.counts.reads += 1;
        this.countBytes({ keys: effect.keys });
        this.counts.rowsRead += effect.keys.length;
        this.reply(effect.callId, this.rows(effect.keys));
        return;
      case EffectKind.TableScan: {
        this.counts.scans += 1;
        const keys = [...this.table.keys()].filter((key) => key.startsWith(effect.keyPrefix));
        this.reply(effect.callId, this.rows(keys));
        return;
      }
      case EffectKind.TableCommit:
        this.reply(effect.callId, this.commit(effect));
        return;
      case EffectKind.MembershipRead:
        this.replies.push({ kind: EventKind.MembershipReply, callId: effect.callId, rows: this.members });
        return;
      default:
        return;
    }
  }

  private reply(callId: string, outcome: TableOutcome): void {
    this.countBytes(outcome);
    this.replies.push({ kind: EventKind.TableReply, callId, outcome });
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

/** Delivers a heartbeat of each peer, in one step. */
export function hearPeers(router: DrivenRouter, peers: readonly number[], levelCount: number): void {
  const levels = shareLevelsOf(levelCount);
  router.step(
    peers.map((index) => ({
      kind: EventKind.PeerReceived,
      sender: senderOf(index),
      message: heartbeatOf(index, levels),
    })),
  );
}

/** A registered Live router in a fleet of this size that has just heard the peers of its region. */
export function routerInFleet(
  routerCount: number,
  levelCount = 0,
  options: Partial<CoreOptions> = {},
): DrivenRouter {
  const router = new DrivenRouter(0, options);
  router.members = Array.from({ length: routerCount }, (_, index) => memberOf(index));
  router.advance(1_000);
  configure(router, {});
  router.core.board.routerState = RouterState.Live;
  hearPeers(router, nearPeers(routerCount), levelCount);
  return router;
}
