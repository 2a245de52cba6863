/** An order to load a model or to change role. */
export interface EngineOrder {
  readonly fencingNumber: number;
  readonly model?: string | undefined;
  readonly state?: string | undefined;
}

/** Records orders. An engine that honours fencing rejects those with a fencing number below the highest one seen. */
export class OrderLog {
  readonly #honoursFencing: boolean;
  #highestFencingNumber = 0;
  readonly accepted: EngineOrder[] = [];

  constructor(honoursFencing: boolean) {
    this.#honoursFencing = honoursFencing;
  }

  /** The latest ordered state of each model. Models are loaded and unloaded instantly. */
  get models(): Readonly<Record<string, string>> {
    const modelStates = this.accepted.flatMap(({ model, state }) =>
      model === undefined || state === undefined ? [] : [[model, state] as const],
    );
    return Object.fromEntries(modelStates);
  }

  accept(order: EngineOrder): boolean {
    if (this.#honoursFencing && order.fencingNumber < this.#highestFencingNumber) {
      return false;
    }
    this.#highestFencingNumber = Math.max(this.#highestFencingNumber, order.fencingNumber);
    this.accepted.push(order);
    return true;
  }
}
