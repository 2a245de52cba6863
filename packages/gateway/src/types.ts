/** What may be repeated: decides whether a request may be sent again after it may have run. */
export enum RouteKind {
  /** May run more than once. */
  Safe = 'safe',
  /** May run at most once for each arrival. */
  Unsafe = 'unsafe',
  /** An event stream; at most once unless the route allows resuming. */
  Streaming = 'streaming',
}

export interface WeightedService {
  readonly serviceName: string;
  readonly weight: number;
}

export interface Route {
  readonly name: string;
  readonly hostname: string;
  /** Begins and ends with a slash. */
  readonly prefix: string;
  readonly kind: RouteKind;
  readonly timeoutMs: number;
  /** Time within which an answer (a stream: its first event) is on time; undefined if the operator set none. */
  readonly targetLatencyMs: number | undefined;
  /** Longest pause between events of a stream that is on time. */
  readonly targetGapMs: number | undefined;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Number of upstreams that one arrival may be sent to. */
  readonly maxAttempts: number;
  /** Needs no key. */
  readonly anonymous: boolean;
  /** A broken stream may go on at another engine after the last complete event. */
  readonly resumable: boolean;
  readonly targets: readonly WeightedService[];
}

/** Limits of a model engine that its service's definition states. */
export interface EngineLimits {
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** Tokens that one event of a stream holds. */
  readonly tokensPerEvent: number;
  /** Routers that may wait for an engine's cache events at the same time. */
  readonly maxCacheFollowers: number;
}

export interface ServiceDefinition {
  readonly name: string;
  /** Connections that one upstream accepts from all callers together. */
  readonly maxConnections: number;
  /** Undefined for a plain service. */
  readonly engine: EngineLimits | undefined;
}

export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
  /** Tokens that the organisation may consume in all; undefined if it has no budget. */
  readonly tokenBudget: number | undefined;
}

export interface IngressLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The operator's document in force. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly organisations: ReadonlyMap<string, Organisation>;
  /** False if the document names no organisations; requests then need no key. */
  readonly requiresKeys: boolean;
  readonly limits: IngressLimits;
}

export enum UpstreamState {
  Ready = 'ready',
  Draining = 'draining',
}

/** An engine or plain service instance as the register shows it. */
export interface UpstreamEntry {
  readonly upstreamId: string;
  readonly serviceName: string;
  /** `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly state: UpstreamState;
  readonly slots: number;
  /** How much longer the upstream is slow after its start. */
  readonly warmupLeftMs: number;
  /** Unix time of its start; tells two lives under one id apart. Undefined if it does not say. */
  readonly startTimeMs: number | undefined;
}

/** A router as its own row in the store shows it. */
export interface RouterEntry {
  readonly routerId: string;
  readonly incarnationId: string;
  /** `host:port` that callers connect to. */
  readonly callerAddress: string;
  /** `host:port` that other routers connect to. */
  readonly peerAddress: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly ready: boolean;
}

/** One shared or own part of a prompt. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** What a request for a model engine declares about its size. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}
