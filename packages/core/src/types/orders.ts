/** State of a model on an engine. */
export enum ModelState {
  Loaded = 'loaded',
  Loading = 'loading',
  Unloaded = 'unloaded',
}

/** The desired state of a model on an engine. Orders are idempotent. */
export interface EngineOrder {
  readonly fencingNumber: number;
  readonly model: string;
  readonly state: ModelState.Loaded | ModelState.Unloaded;
}

export enum EngineOrderOutcome {
  Accepted = 'accepted',
  /** The engine has seen a higher fencing number. */
  Fenced = 'fenced',
  /** No answer arrived; the engine may have accepted the order. */
  Unknown = 'unknown',
}

/** Model states of an engine by model name. A model that is not listed is unloaded. */
export type EngineModels = Readonly<Record<string, ModelState>>;
