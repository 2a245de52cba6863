/** An order to load a model or to change role. */
export interface EngineOrder {
  readonly fencingNumber: number;
  readonly model?: string | undefined;
  readonly state?: string | undefined;
}

/** Accepts orders; an engine that honours fencing refuses those with a number below the highest seen. */
export class OrderLog {
  readonly #honoursFencing: boolean;
  #highestNumber = 0;
  readonly accepted: EngineOrder[] = [];

  constructor(honoursFencing: boolean) {
    this.#honoursFencing = honoursFencing;
  }

  /** The models that orders have loaded or unloaded. Loading takes no time here. */
  get models(): Readonly<Record<string, string>> {
    const ordered = this.accepted.flatMap(({ model, state }) =>
      model === undefined || state === undefined ? [] : [[model, state] as const],
    );
    return Object.fromEntries(ordered);
  }

  accept(order: EngineOrder): boolean {
    if (this.#honoursFencing && order.fencingNumber < this.#highestNumber) {
      return false;
    }
    this.#highestNumber = Math.max(this.#highestNumber, order.fencingNumber);
    this.accepted.push(order);
    return true;
  }
}
