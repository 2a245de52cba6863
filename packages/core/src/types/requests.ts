/** Kinds of parsed caller requests. The adapter has already enforced size limits and checked the syntax. */
export enum CallerRequestKind {
  ChatCompletion = 'chatCompletion',
  ServiceCall = 'serviceCall',
  Entry = 'entry',
  Health = 'health',
}

export interface ChatCompletionRequest {
  readonly kind: CallerRequestKind.ChatCompletion;
  readonly model: string;
  readonly messages: readonly ChatMessage[];
  readonly maxOutputTokens: number | undefined;
  readonly stream: boolean;
}

export interface ChatMessage {
  readonly role: string;
  readonly content: string;
}

export interface ServiceCallRequest {
  readonly kind: CallerRequestKind.ServiceCall;
  readonly serviceId: string;
  readonly method: string;
  /** Path relative to the service, with a leading slash and including the query. */
  readonly path: string;
  readonly body: string;
  readonly contentType: string | undefined;
}

export type CallerRequest =
  | ChatCompletionRequest
  | ServiceCallRequest
  | { readonly kind: CallerRequestKind.Entry }
  | { readonly kind: CallerRequestKind.Health };

/** Request metadata from the caller's headers and query. */
export interface CallerMetadata {
  /** SHA-256 of the bearer key in lower-case hexadecimal; the key itself never enters the core. */
  readonly keySha256: string | undefined;
  readonly idempotencyKey: string | undefined;
  /** True if another router redirected the request here. */
  readonly redirected: boolean;
  /** Path and query as received, used for the Location header of a redirect. */
  readonly target: string;
}

export enum UpstreamRequestKind {
  /** Starts a stream on an engine. */
  EngineStart = 'engineStart',
  /** Resumes a stream that an engine holds, from a chunk index. */
  EngineResume = 'engineResume',
  ServiceCall = 'serviceCall',
}

export type UpstreamRequest =
  | {
      readonly kind: UpstreamRequestKind.EngineStart;
      readonly requestId: string;
      readonly model: string;
      readonly messages: readonly ChatMessage[];
      readonly maxOutputTokens: number;
      readonly priority: number;
    }
  | {
      readonly kind: UpstreamRequestKind.EngineResume;
      readonly requestId: string;
      readonly fromIndex: number;
    }
  | {
      readonly kind: UpstreamRequestKind.ServiceCall;
      readonly requestId: string;
      readonly method: string;
      readonly path: string;
      readonly body: string;
      readonly contentType: string | undefined;
    };

/** A chunk of an engine's response. Indexes start at 0 and are contiguous within a stream. */
export interface EngineChunk {
  readonly index: number;
  readonly text: string;
  /** Set on the last chunk. */
  readonly finish: EngineFinish | undefined;
}

export interface EngineFinish {
  readonly reason: string;
  readonly promptTokens: number;
  readonly cachedPromptTokens: number;
  readonly outputTokens: number;
}

/** A load report of an engine. Reports lag, so each carries its age. */
export interface EngineLoad {
  readonly runningCount: number;
  readonly queuedCount: number;
  readonly leaving: boolean;
  /** Age of the report in milliseconds when it was read. */
  readonly ageMs: number;
  /** Hashes of prompt prefixes that the engine has cached since the last probe. Some may be missing. */
  readonly cachedPrefixHashes: readonly string[];
}
