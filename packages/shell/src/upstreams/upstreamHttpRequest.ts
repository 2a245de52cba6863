import type { UpstreamRequest } from '@pimentostall/core';
import { UpstreamRequestKind } from '@pimentostall/core';

/** The HTTP form of an upstream request. */
export interface UpstreamHttpRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Record<string, string>;
  readonly body: string | undefined;
}

export function streamPath(requestId: string): string {
  return `/v1/streams/${encodeURIComponent(requestId)}`;
}

export function toHttpRequest(request: UpstreamRequest): UpstreamHttpRequest {
  switch (request.kind) {
    case UpstreamRequestKind.EngineStart: {
      const { requestId, model, messages, maxOutputTokens, priority } = request;
      return {
        method: 'POST',
        path: '/v1/streams',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ requestId, model, messages, maxOutputTokens, priority }),
      };
    }
    case UpstreamRequestKind.EngineResume:
      return {
        method: 'GET',
        path: `${streamPath(request.requestId)}?from=${request.fromIndex}`,
        headers: {},
        body: undefined,
      };
    case UpstreamRequestKind.ServiceCall: {
      const headers: Record<string, string> = { 'idempotency-key': request.requestId };
      if (request.contentType !== undefined) {
        headers['content-type'] = request.contentType;
      }
      const body = request.body === '' ? undefined : request.body;
      return { method: request.method, path: request.path, headers, body };
    }
  }
}
