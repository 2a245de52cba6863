import type { CoreContext } from '../context.ts';
import { hash32 } from '../hash.ts';
import type { CallerMetadata, ChatCompletionRequest, ServiceCallRequest } from '../types/requests.ts';

export interface RequestIdentity {
  readonly requestId: string;
  /** Unique across organisations. Upstreams and usage records use only this identifier. */
  readonly scopedRequestId: string;
  readonly hasIdempotencyKey: boolean;
  readonly bodyHash: string;
}

/** Combines two salted 32-bit hashes. A single one would collide for one in 4 billion pairs of bodies. */
function hashBody(body: string): string {
  const parts = [hash32(`a${body}`), hash32(`${body}b`)];
  return parts.map((part) => part.toString(16).padStart(8, '0')).join('');
}

/**
 * Derives the identifiers of a request. The scoped identifier includes the organisation: if two organisations could
 * send the same key to an upstream, one would receive the answer of the other. Encoding keeps the separator
 * unambiguous.
 */
export function identifyRequest(
  context: CoreContext,
  organisationId: string,
  metadata: CallerMetadata,
  request: ChatCompletionRequest | ServiceCallRequest,
): RequestIdentity {
  const requestId = metadata.idempotencyKey ?? context.newId();
  return {
    requestId,
    scopedRequestId: `${encodeURIComponent(organisationId)}:${encodeURIComponent(requestId)}`,
    hasIdempotencyKey: metadata.idempotencyKey !== undefined,
    // Streaming does not change the answer's content, so a retry may switch it on or off.
    bodyHash: hashBody(JSON.stringify({ ...request, stream: undefined })),
  };
}

export function requestKey(organisationId: string, requestId: string): string {
  return `${organisationId}/${requestId}`;
}
