import { EventHeap } from '../../__tests__/eventHeap.ts';

/** Simulated clock that waits for promises by microtasks alone, for simulations with very many events. */
export class EventQueue {
  nowMs = 0;
  private readonly events = new EventHeap();

  schedule(delayMs: number, run: () => void): () => void {
    return this.events.add(this.nowMs + Math.max(0, delayMs), run);
  }

  /** Runs the events up to a time; promises that an event resolves run their callbacks before the next event. */
  async advanceTo(untilMs: number): Promise<void> {
    const { events } = this;
    for (let next = events.first; next !== undefined && next.atMs <= untilMs; next = events.first) {
      events.removeFirst();
      if (next.cancelled) {
        continue;
      }
      this.nowMs = next.atMs;
      next.run();
      // Three turns of the microtask queue are enough for the chains of promises in the simulations.
      for (let turn = 0; turn < 3; turn += 1) {
        await Promise.resolve();
      }
    }
    this.nowMs = untilMs;
  }
}
