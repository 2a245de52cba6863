import type { VmRow } from '@pimentostall/core';

interface MemberSnapshot {
  readonly rows: readonly VmRow[];
  readonly visibleAtMs: number;
}

/** Membership list of the VMs. Readers see a change only after a configurable lag. */
export class MemberList {
  #visible: readonly VmRow[];
  #pending: MemberSnapshot[] = [];
  #lagMs: number;

  constructor(rows: readonly VmRow[], lagMs: number) {
    this.#visible = rows;
    this.#lagMs = lagMs;
  }

  /** Sets the lag of later changes; pending changes keep the time at which they become visible. */
  setLag(lagMs: number): void {
    this.#lagMs = lagMs;
  }

  replace(rows: readonly VmRow[], nowMs: number): void {
    const previousVisibleAtMs = this.#pending.at(-1)?.visibleAtMs ?? 0;
    this.#pending.push({ rows, visibleAtMs: Math.max(previousVisibleAtMs, nowMs + this.#lagMs) });
  }

  rowsAt(nowMs: number): readonly VmRow[] {
    const due = this.#pending.filter(({ visibleAtMs }) => visibleAtMs <= nowMs);
    this.#pending = this.#pending.slice(due.length);
    this.#visible = due.at(-1)?.rows ?? this.#visible;
    return this.#visible;
  }
}
