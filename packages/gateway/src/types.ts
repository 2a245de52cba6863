/** Retry semantics of a route: whether a request that may have been executed can be sent again. */
export enum RouteKind {
  /** Idempotent: may be executed more than once. */
  Safe = 'safe',
  /** Executed at most once per received request. */
  Unsafe = 'unsafe',
  /** Event stream: executed at most once, unless the route allows resuming. */
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
  /** Target latency of the response (of a stream: of its first event); undefined if the operator set none. */
  readonly targetLatencyMs: number | undefined;
  /** Target for the longest gap between two events of a stream. */
  readonly targetGapMs: number | undefined;
  /** 0 is the highest priority. */
  readonly priority: number;
  /** Maximum number of upstreams that one received request may be sent to. */
  readonly maxAttempts: number;
  /** Requests need no API key. */
  readonly anonymous: boolean;
  /** An interrupted stream may resume on another engine after its last complete event. */
  readonly resumable: boolean;
  readonly targets: readonly WeightedService[];
  /** Names of the regions whose upstreams may execute its requests; empty if it does not restrict them. */
  readonly allowedRegions: readonly string[];
}

/** Limits of a model engine, as configured for its service. */
export interface EngineLimits {
  readonly slots: number;
  readonly kvCapacityTokens: number;
  /** Tokens per event of a stream. */
  readonly tokensPerEvent: number;
  /** Maximum number of routers that long-poll an engine's cache events concurrently. */
  readonly maxCacheFollowers: number;
}

/** How engines of a service warm up after a start. */
export interface WarmupLimits {
  readonly durationMs: number;
  /** Requests per second that a cold engine tolerates. */
  readonly requestsPerSecond: number;
}

export interface ServiceDefinition {
  readonly name: string;
  /** Maximum number of connections that one upstream accepts from all its clients together. */
  readonly maxConnections: number;
  /** Undefined for a plain service. */
  readonly engine: EngineLimits | undefined;
  /** Undefined for a service without cold engines. */
  readonly warmup: WarmupLimits | undefined;
}

export interface Organisation {
  readonly name: string;
  readonly keys: readonly string[];
  readonly priority: number | undefined;
  /** Total number of tokens that the organisation may consume; undefined if it has no budget. */
  readonly tokenBudget: number | undefined;
  /** Names of the regions whose upstreams may execute its requests; empty if it does not restrict them. */
  readonly allowedRegions: readonly string[];
}

export interface IngressLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** The active configuration of the operator. */
export interface GatewayConfiguration {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: ReadonlyMap<string, ServiceDefinition>;
  readonly organisations: ReadonlyMap<string, Organisation>;
  /** False if the configuration defines no organisations; requests then need no API key. */
  readonly requiresKeys: boolean;
  readonly limits: IngressLimits;
}

export enum UpstreamState {
  Ready = 'ready',
  Draining = 'draining',
}

/** Registry entry of an engine or of an instance of a plain service. */
export interface UpstreamEntry {
  readonly upstreamId: string;
  readonly serviceName: string;
  /** `host:port`. */
  readonly address: string;
  readonly availabilityZone: string;
  readonly state: UpstreamState;
  readonly slots: number;
  /** Remaining warm-up time, during which the upstream responds slowly. */
  readonly warmupLeftMs: number;
  /** Unix time of its start, which distinguishes two incarnations under one id; undefined if not reported. */
  readonly startTimeMs: number | undefined;
  /** Number of the heartbeat that wrote the entry, counted from the start; undefined if not reported. */
  readonly sequence: number | undefined;
}

/** Registry entry of a router, from its own row in the store. */
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
  /** Newest era of the store whose rows include all shares of the router; undefined for a store without eras. */
  readonly restoredEra?: number | undefined;
  /** Newest era of the store in which the router draws tokens. */
  readonly drawEra?: number | undefined;
}

/** A segment of a prompt, either shared with other prompts or specific to this one. */
export interface PromptPart {
  readonly partId: string;
  readonly tokens: number;
}

/** Token counts that a request for a model engine declares. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly maxOutputTokens: number;
}
