import type { PromptPart } from '../types.ts';
import type { QuarantineOptions } from './options.ts';
import type { SuspectReport } from './types.ts';

/** Maximum number of records: several times the parts of the requests that one engine runs at once. */
const MAX_RECORDS = 256;
/** Crashes kept for one part; more than any threshold. */
const MAX_CRASHES_PER_PART = 8;
/** Deeper parts kept for one crash; a request has few of them. */
const MAX_DEEPER_PARTS = 8;
/** Parts whose newest start is remembered. */
const MAX_STARTS = 2_048;
/** Time for which a cleared record is kept, so that reports that are still on their way do not bring it back. */
const CLEARED_RETENTION_MS = 60_000;

interface ProbationState {
  readonly revision: number;
  readonly probes: number;
  readonly dueAtMs: number;
}

interface Crash {
  readonly atMs: number;
  /** Deeper parts of the prompts that held the part when the engine ended; each may be the cause as well. */
  readonly deeperPartIds: ReadonlySet<string>;
}

interface SuspectRecord {
  /** Crashes by the id of the engine's incarnation. */
  readonly crashes: Map<string, Crash>;
  clearedAtMs: number;
  probation: ProbationState | undefined;
  changedAtMs: number;
}

export enum PartChange {
  /** What counts against the part, or its probation, has changed. */
  Updated = 'updated',
  /** From now on, requests with the part are withheld. */
  Quarantined = 'quarantined',
  /** An answer was started on the part, so that its quarantine ends. */
  Released = 'released',
}

export interface SuspectChange {
  readonly partId: string;
  readonly change: PartChange;
}

/** Whether a request may be sent to an engine. */
export type PartVerdict =
  | { readonly kind: 'allowed' }
  | { readonly kind: 'withheld'; readonly partId: string; readonly retryInMs: number }
  /** The quarantine of the part is due for a request that shows whether it still crashes engines. */
  | { readonly kind: 'probe-due'; readonly partId: string };

/** A request that was let through to find out whether a part still crashes engines. */
export interface Probe {
  readonly partId: string;
  readonly revision: number;
  readonly startedAtMs: number;
}

/** The parts of a prompt that other requests may share. The last one belongs to the request alone. */
export function sharedPartIds(parts: readonly PromptPart[]): string[] {
  return parts.slice(0, -1).map(({ partId }) => partId);
}

/**
 * Decides which parts of prompts crash engines. Answers the load of requests with one such part among sound ones that
 * share their caller and their other parts, beside engines that end for other reasons: a crash counts against the parts
 * of each request that the engine had not begun to answer, and an answer that is begun clears all of its parts, since a
 * part that crashes engines never lets one begin. What counts is the number of ended engines, whichever routers saw
 * them. Crashes that a deeper part of the same prompts explains as well count against that part, since sound requests
 * share the parts before it.
 */
export class SuspectTable {
  private readonly records = new Map<string, SuspectRecord>();
  private readonly startedAtMs = new Map<string, number>();

  constructor(private readonly options: QuarantineOptions) {}

  /** Records that an engine ended before it began to answer a request with these shared parts, in their order. */
  recordCrash(engineKey: string, partIds: readonly string[], nowMs: number): SuspectChange[] {
    // From the deepest part on, so that it already counts when the parts before it are judged.
    return [...partIds.entries()].reverse().flatMap(([index, partId]) => {
      const crash = { atMs: nowMs, deeperPartIds: new Set(partIds.slice(index + 1)) };
      return this.addCrashes(partId, [[engineKey, crash]], nowMs);
    });
  }

  /** Records that an engine began to answer a request with these parts and did not end from it. */
  recordStart(partIds: Iterable<string>, startedAtMs: number, nowMs: number): SuspectChange[] {
    return [...partIds].flatMap((partId) => {
      const previousMs = this.startedAtMs.get(partId) ?? -Infinity;
      this.startedAtMs.delete(partId);
      this.startedAtMs.set(partId, Math.max(previousMs, startedAtMs));
      if (this.startedAtMs.size > MAX_STARTS) {
        deleteOldest(this.startedAtMs);
      }
      const record = this.records.get(partId);
      return record === undefined ? [] : this.clear(partId, record, startedAtMs, nowMs);
    });
  }

  /** Number of ended engines that only the part with most of them explains. */
  crashCount(partIds: readonly string[]): number {
    return Math.max(0, ...partIds.map((partId) => this.unexplainedCrashes(partId)));
  }

  /** Tells whether a request with these shared parts may be sent. */
  check(partIds: readonly string[], nowMs: number): PartVerdict {
    let due: PartVerdict = { kind: 'allowed' };
    for (const partId of partIds) {
      const probation = this.records.get(partId)?.probation;
      if (probation !== undefined && probation.dueAtMs > nowMs) {
        return { kind: 'withheld', partId, retryInMs: probation.dueAtMs - nowMs };
      }
      if (probation !== undefined) {
        due = { kind: 'probe-due', partId };
      }
    }
    return due;
  }

  /** Lets one request through; until its outcome is known, the part is withheld for the next, longer period. */
  startProbe(partId: string, nowMs: number): Probe {
    const record = this.getOrCreate(partId, nowMs);
    const revision = (record.probation?.revision ?? 0) + 1;
    const probes = (record.probation?.probes ?? 0) + 1;
    record.probation = { revision, probes, dueAtMs: nowMs + this.quarantineMs(probes) };
    record.changedAtMs = nowMs;
    return { partId, revision, startedAtMs: nowMs };
  }

  /** Ends a probe. If neither a crash nor a start of an answer resulted from it, another one is due soon. */
  endProbe({ partId, revision, startedAtMs }: Probe, nowMs: number): SuspectChange[] {
    const record = this.records.get(partId);
    const { probation } = record ?? {};
    if (record === undefined || probation?.revision !== revision) {
      return [];
    }
    if ([...record.crashes.values()].some(({ atMs }) => atMs >= startedAtMs)) {
      return [];
    }
    record.probation = {
      revision: revision + 1,
      probes: probation.probes - 1,
      dueAtMs: nowMs + this.options.inconclusiveProbeMs,
    };
    record.changedAtMs = nowMs;
    return [{ partId, change: PartChange.Updated }];
  }

  /** Applies the report of another router; returns what was new. */
  merge(report: SuspectReport, nowMs: number): SuspectChange[] {
    const { partId, crashes, clearedAgeMs, probation } = report;
    const reportedCrashes = Object.entries(crashes).map(
      ([engineKey, { ageMs, deeperPartIds }]) =>
        [engineKey, { atMs: nowMs - ageMs, deeperPartIds: new Set(deeperPartIds) }] as const,
    );
    const reportedClearedAtMs = clearedAgeMs === undefined ? -Infinity : nowMs - clearedAgeMs;
    const changes = [
      ...this.mergeClearance(partId, reportedClearedAtMs, nowMs),
      ...this.contradict(partId, reportedCrashes, reportedClearedAtMs, nowMs),
      ...this.addCrashes(partId, reportedCrashes, nowMs),
    ];
    const record = this.records.get(partId);
    if (record?.probation !== undefined && probation !== undefined) {
      const dueAtMs = nowMs + probation.dueInMs;
      if (probation.revision > record.probation.revision) {
        record.probation = { revision: probation.revision, probes: probation.probes, dueAtMs };
        record.changedAtMs = nowMs;
        changes.push({ partId, change: PartChange.Updated });
      }
    }
    return changes;
  }

  /** What this router knows about some parts, or about all; parts without a record are left out. */
  reports(nowMs: number, partIds: Iterable<string> = this.records.keys()): SuspectReport[] {
    this.removeExpired(nowMs);
    return [...partIds].flatMap((partId) => {
      const record = this.records.get(partId);
      return record === undefined ? [] : [encodeReport(partId, record, nowMs)];
    });
  }

  /** Time of the newest change of a record; undefined without records. */
  newestChangeAtMs(nowMs: number): number | undefined {
    this.removeExpired(nowMs);
    return this.records.size === 0
      ? undefined
      : Math.max(...[...this.records.values()].map(({ changedAtMs }) => changedAtMs));
  }

  isQuarantined(partId: string): boolean {
    return this.records.get(partId)?.probation !== undefined;
  }

  /** Number of parts whose requests are withheld. */
  get quarantinedCount(): number {
    return [...this.records.values()].filter(({ probation }) => probation !== undefined).length;
  }

  private mergeClearance(partId: string, clearedAtMs: number, nowMs: number): SuspectChange[] {
    if (clearedAtMs === -Infinity) {
      return [];
    }
    const record = this.getOrCreate(partId, nowMs);
    const changes = this.clear(partId, record, clearedAtMs, nowMs);
    // Kept although there was nothing to clear: the crashes that it clears may arrive later.
    record.clearedAtMs = Math.max(record.clearedAtMs, clearedAtMs);
    return changes;
  }

  /** Clears a part for the router that reports crashes which a start of an answer at this router refutes. */
  private contradict(
    partId: string,
    crashes: Iterable<readonly [string, Crash]>,
    reportedClearedAtMs: number,
    nowMs: number,
  ): SuspectChange[] {
    const { clearanceMs } = this.options;
    const startedAtMs = this.startedAtMs.get(partId) ?? -Infinity;
    const knownClearedAtMs = Math.max(
      reportedClearedAtMs,
      this.records.get(partId)?.clearedAtMs ?? -Infinity,
    );
    const isRefuted = [...crashes].some(
      ([, { atMs }]) => atMs <= startedAtMs + clearanceMs && atMs > knownClearedAtMs + clearanceMs,
    );
    if (!isRefuted) {
      return [];
    }
    const record = this.getOrCreate(partId, nowMs);
    record.clearedAtMs = startedAtMs;
    record.changedAtMs = nowMs;
    return [{ partId, change: PartChange.Updated }];
  }

  private addCrashes(
    partId: string,
    crashes: Iterable<readonly [string, Crash]>,
    nowMs: number,
  ): SuspectChange[] {
    const clearedAtMs = Math.max(
      this.startedAtMs.get(partId) ?? -Infinity,
      this.records.get(partId)?.clearedAtMs ?? -Infinity,
    );
    let changed = false;
    for (const [engineKey, crash] of crashes) {
      if (crash.atMs > clearedAtMs + this.options.clearanceMs) {
        changed = this.addCrash(partId, engineKey, crash, nowMs) || changed;
      }
    }
    if (!changed) {
      return [];
    }
    const judged = this.judge(partId, nowMs);
    return judged.length > 0 ? judged : [{ partId, change: PartChange.Updated }];
  }

  /** Returns false if the crash was known. */
  private addCrash(
    partId: string,
    engineKey: string,
    { atMs, deeperPartIds }: Crash,
    nowMs: number,
  ): boolean {
    const record = this.getOrCreate(partId, nowMs);
    const known = record.crashes.get(engineKey);
    const united = new Set([...(known?.deeperPartIds ?? []), ...deeperPartIds]);
    if (known !== undefined && (united.size === known.deeperPartIds.size || united.size > MAX_DEEPER_PARTS)) {
      return false;
    }
    record.crashes.set(engineKey, { atMs: known?.atMs ?? atMs, deeperPartIds: united });
    record.changedAtMs = nowMs;
    if (record.crashes.size > MAX_CRASHES_PER_PART) {
      deleteOldest(record.crashes);
    }
    return true;
  }

  /** Quarantines a part if enough crashes count against it. */
  private judge(partId: string, nowMs: number): SuspectChange[] {
    const { crashThreshold, retryThreshold } = this.options;
    const record = this.records.get(partId);
    if (record === undefined || record.probation !== undefined || record.crashes.size < crashThreshold) {
      return [];
    }
    if (this.unexplainedCrashes(partId) < retryThreshold) {
      return [];
    }
    record.probation = { revision: 1, probes: 0, dueAtMs: nowMs + this.quarantineMs(0) };
    record.changedAtMs = nowMs;
    return [{ partId, change: PartChange.Quarantined }, ...this.doubtExplained(partId, record, nowMs)];
  }

  /**
   * Lets a probe of a quarantined part follow at once if all of its crashes are also those of another quarantined part,
   * which was likely the cause of them. A request that holds both stays withheld.
   */
  private doubtExplained(partId: string, record: SuspectRecord, nowMs: number): SuspectChange[] {
    const doubted = new Set<string>();
    for (const [otherPartId, other] of this.records) {
      if (otherPartId !== partId && other.probation !== undefined) {
        if (isSubset(other.crashes, record.crashes)) {
          doubted.add(otherPartId);
        }
        if (isSubset(record.crashes, other.crashes)) {
          doubted.add(partId);
        }
      }
    }
    return [...doubted].flatMap((doubtedPartId) => this.hastenProbe(doubtedPartId, nowMs));
  }

  private hastenProbe(partId: string, nowMs: number): SuspectChange[] {
    const record = this.records.get(partId);
    if (record?.probation?.probes !== 0) {
      return [];
    }
    const { revision, probes } = record.probation;
    record.probation = { revision: revision + 1, probes, dueAtMs: nowMs };
    record.changedAtMs = nowMs;
    return [{ partId, change: PartChange.Updated }];
  }

  /** Crashes that count against a part, without those that the likeliest deeper part explains. */
  private unexplainedCrashes(partId: string): number {
    const crashes = this.records.get(partId)?.crashes;
    if (crashes === undefined) {
      return 0;
    }
    const explainedBy = new Map<string, number>();
    for (const [engineKey, { deeperPartIds }] of crashes) {
      for (const deeperPartId of deeperPartIds) {
        if (this.records.get(deeperPartId)?.crashes.has(engineKey) === true) {
          explainedBy.set(deeperPartId, (explainedBy.get(deeperPartId) ?? 0) + 1);
        }
      }
    }
    return crashes.size - Math.max(0, ...explainedBy.values());
  }

  private clear(partId: string, record: SuspectRecord, startedAtMs: number, nowMs: number): SuspectChange[] {
    if (startedAtMs <= record.clearedAtMs) {
      return [];
    }
    const cleared = [...record.crashes].filter(
      ([, { atMs }]) => atMs <= startedAtMs + this.options.clearanceMs,
    );
    if (cleared.length === 0) {
      return [];
    }
    for (const [engineKey] of cleared) {
      record.crashes.delete(engineKey);
    }
    record.clearedAtMs = startedAtMs;
    record.changedAtMs = nowMs;
    const isReleased = record.crashes.size === 0 && record.probation !== undefined;
    if (isReleased) {
      record.probation = undefined;
    }
    return [
      { partId, change: isReleased ? PartChange.Released : PartChange.Updated },
      ...this.judgeExplainedBy(partId, nowMs),
    ];
  }

  /** Judges the parts again whose crashes a deeper part explained until it was cleared. */
  private judgeExplainedBy(deeperPartId: string, nowMs: number): SuspectChange[] {
    return [...this.records].flatMap(([partId, { crashes }]) =>
      [...crashes.values()].some(({ deeperPartIds }) => deeperPartIds.has(deeperPartId))
        ? this.judge(partId, nowMs)
        : [],
    );
  }

  private quarantineMs(probes: number): number {
    const { quarantineMs, quarantineGrowth, quarantineMaxMs } = this.options;
    return Math.min(quarantineMaxMs, quarantineMs * quarantineGrowth ** probes);
  }

  private getOrCreate(partId: string, nowMs: number): SuspectRecord {
    const existing = this.records.get(partId);
    if (existing !== undefined) {
      return existing;
    }
    if (this.records.size >= MAX_RECORDS) {
      this.removeExpired(nowMs);
      this.evictOne();
    }
    const record: SuspectRecord = {
      crashes: new Map(),
      clearedAtMs: -Infinity,
      probation: undefined,
      changedAtMs: nowMs,
    };
    this.records.set(partId, record);
    return record;
  }

  private removeExpired(nowMs: number): void {
    for (const [partId, record] of this.records) {
      if (nowMs >= this.expiresAtMs(record)) {
        this.records.delete(partId);
      }
    }
  }

  private expiresAtMs({ crashes, probation, changedAtMs }: SuspectRecord): number {
    const { crashRetentionMs } = this.options;
    if (probation !== undefined) {
      return probation.dueAtMs + crashRetentionMs;
    }
    return crashes.size === 0
      ? changedAtMs + CLEARED_RETENTION_MS
      : Math.max(...[...crashes.values()].map(({ atMs }) => atMs)) + crashRetentionMs;
  }

  /** Removes the record that is least worth keeping: not quarantined if possible, and changed longest ago. */
  private evictOne(): void {
    let victim: { partId: string; record: SuspectRecord } | undefined;
    for (const [partId, record] of this.records) {
      const isQuarantined = record.probation !== undefined;
      const victimIsQuarantined = victim?.record.probation !== undefined;
      if (
        victim === undefined ||
        (isQuarantined === victimIsQuarantined
          ? record.changedAtMs < victim.record.changedAtMs
          : victimIsQuarantined)
      ) {
        victim = { partId, record };
      }
    }
    if (victim !== undefined) {
      this.records.delete(victim.partId);
    }
  }
}

function encodeReport(partId: string, record: SuspectRecord, nowMs: number): SuspectReport {
  const { crashes, clearedAtMs, probation } = record;
  return {
    partId,
    crashes: Object.fromEntries(
      [...crashes].map(([engineKey, { atMs, deeperPartIds }]) => [
        engineKey,
        { ageMs: Math.round(nowMs - atMs), deeperPartIds: [...deeperPartIds] },
      ]),
    ),
    clearedAgeMs: clearedAtMs === -Infinity ? undefined : Math.round(nowMs - clearedAtMs),
    probation:
      probation === undefined
        ? undefined
        : {
            revision: probation.revision,
            probes: probation.probes,
            dueInMs: Math.max(0, Math.round(probation.dueAtMs - nowMs)),
          },
  };
}

function isSubset(crashes: ReadonlyMap<string, Crash>, others: ReadonlyMap<string, Crash>): boolean {
  return [...crashes.keys()].every((engineKey) => others.has(engineKey));
}

function deleteOldest(map: Map<string, unknown>): void {
  for (const key of map.keys()) {
    map.delete(key);
    return;
  }
}
