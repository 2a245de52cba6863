import type { CoreContext } from '../context.ts';
import { hash32 } from '../hash.ts';
import type { CallerMetadata, ChatCompletionRequest, ServiceCallRequest } from '../types/requests.ts';

export interface RequestIdentity {
  readonly requestId: string;
  /** Unique over all organisations; upstreams and records know only this one. */
  readonly scopedRequestId: string;
  readonly hasIdempotencyKey: boolean;
  readonly bodyHash: string;
}

/** Two salted 32-bit hashes: one alone would take one in 4 billion different bodies for the same. */
function hashBody(body: string): string {
  const parts = [hash32(`a${body}`), hash32(`${body}b`)];
  return parts.map((part) => part.toString(16).padStart(8, '0')).join('');
}

/**
 * Names the request. The key of one organisation must never meet the key of another on an upstream, which would
 * give one caller the answer of the other. Encoding keeps the separator unambiguous.
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
    // Whether the answer is streamed does not change the work, so a retry may ask for the other form.
    bodyHash: hashBody(JSON.stringify({ ...request, stream: undefined })),
  };
}

export function runningKey(organisationId: string, requestId: string): string {
  return `${organisationId}/${requestId}`;
}
