import type { VmRow } from '@pimentostall/core';

interface MemberSnapshot {
  readonly rows: readonly VmRow[];
  readonly visibleAtMs: number;
}

/** The list of VMs. A change becomes visible to readers only after the lag. */
export class MemberList {
  #visible: readonly VmRow[];
  #pending: MemberSnapshot[] = [];
  #lagMs: number;

  constructor(rows: readonly VmRow[], lagMs: number) {
    this.#visible = rows;
    this.#lagMs = lagMs;
  }

  /** Applies to later changes; changes that are on their way keep their time. */
  setLag(lagMs: number): void {
    this.#lagMs = lagMs;
  }

  replace(rows: readonly VmRow[], nowMs: number): void {
    const previousMs = this.#pending.at(-1)?.visibleAtMs ?? 0;
    this.#pending.push({ rows, visibleAtMs: Math.max(previousMs, nowMs + this.#lagMs) });
  }

  rowsAt(nowMs: number): readonly VmRow[] {
    const due = this.#pending.filter(({ visibleAtMs }) => visibleAtMs <= nowMs);
    this.#pending = this.#pending.slice(due.length);
    this.#visible = due.at(-1)?.rows ?? this.#visible;
    return this.#visible;
  }
}
