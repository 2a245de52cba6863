interface Delivery {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** Runs each delivery at its due time and in insertion order. With a timer each, deliveries could be reordered. */
export class DeliveryQueue {
  readonly #deliveries: Delivery[] = [];
  #timerPending = false;

  add(atMs: number, deliver: () => void): void {
    this.#deliveries.push({ atMs, deliver });
    if (!this.#timerPending) {
      this.#run();
    }
  }

  #run(): void {
    this.#timerPending = false;
    let next = this.#deliveries[0];
    while (next !== undefined && next.atMs <= Date.now()) {
      this.#deliveries.shift();
      next.deliver();
      next = this.#deliveries[0];
    }
    if (next !== undefined) {
      this.#timerPending = true;
      setTimeout(
        () => {
          this.#run();
        },
        Math.ceil(next.atMs - Date.now()),
      );
    }
  }
}
