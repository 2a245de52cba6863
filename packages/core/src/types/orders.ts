/** State of a model on an engine. */
export enum ModelState {
  Loaded = 'loaded',
  Loading = 'loading',
  Unloaded = 'unloaded',
}

/** The state wanted, not an action: repeating an order changes nothing. */
export interface EngineOrder {
  readonly fencingNumber: number;
  readonly model: string;
  readonly state: ModelState.Loaded | ModelState.Unloaded;
}

export enum EngineOrderOutcome {
  Accepted = 'accepted',
  /** The engine has seen a higher fencing number. */
  Fenced = 'fenced',
  /** No answer: the engine may have taken the order. */
  Unknown = 'unknown',
}

/** Models of an engine by name; a model that is not listed is unloaded. */
export type EngineModels = Readonly<Record<string, ModelState>>;
