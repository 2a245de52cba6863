interface Delivery {
  readonly atMs: number;
  readonly deliver: () => void;
}

/** Runs deliveries at their time and strictly in the order they were added: independent timers can overtake. */
export class DeliveryQueue {
  readonly #deliveries: Delivery[] = [];
  #waiting = false;

  add(atMs: number, deliver: () => void): void {
    this.#deliveries.push({ atMs, deliver });
    if (!this.#waiting) {
      this.#run();
    }
  }

  #run(): void {
    this.#waiting = false;
    let next = this.#deliveries[0];
    while (next !== undefined && next.atMs <= Date.now()) {
      this.#deliveries.shift();
      next.deliver();
      next = this.#deliveries[0];
    }
    if (next !== undefined) {
      this.#waiting = true;
      setTimeout(
        () => {
          this.#run();
        },
        Math.ceil(next.atMs - Date.now()),
      );
    }
  }
}
