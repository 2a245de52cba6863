import type { IncomingHttpHeaders } from 'node:http';
import type { CallerMetadata, CallerRequest, Problem } from '@pimentostall/core';
import { CallerRequestKind } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { hashBearerKey } from '../http/bearerKey.ts';
import { malformedRequest } from '../http/problems.ts';
import { parseChatCompletion } from './parseChatCompletion.ts';
import type { Route } from './parseTarget.ts';
import { parseTarget, RouteKind } from './parseTarget.ts';

export interface RawCallerRequest {
  readonly method: string;
  readonly target: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

export interface ParsedCallerRequest {
  readonly request: CallerRequest;
  readonly metadata: CallerMetadata;
}

/** Used in row keys and upstream paths, so it must not contain a slash or start with a dot. */
const IDEMPOTENCY_KEY = /^[A-Za-z0-9][A-Za-z0-9._:~-]{0,127}$/;

function parseIdempotencyKey(headers: IncomingHttpHeaders): Result<string | undefined, Problem> {
  const value = headers['idempotency-key'];
  if (value === undefined) {
    return ok(undefined);
  }
  if (typeof value === 'string' && IDEMPOTENCY_KEY.test(value)) {
    return ok(value);
  }
  const detail =
    'Idempotency-Key must be 1 to 128 letters, digits or . _ : ~ - and start with a letter or digit.';
  return err(malformedRequest(400, 'Malformed Idempotency-Key', detail));
}

function parseRequest(route: Route, raw: RawCallerRequest): Result<CallerRequest, Problem> {
  switch (route.kind) {
    case RouteKind.ChatCompletion:
      return parseChatCompletion(raw.body);
    case RouteKind.Entry:
      return ok({ kind: CallerRequestKind.Entry });
    case RouteKind.Health:
      return ok({ kind: CallerRequestKind.Health });
    case RouteKind.ServiceCall:
      return ok({
        kind: CallerRequestKind.ServiceCall,
        serviceId: route.serviceId,
        method: raw.method,
        path: route.path,
        body: raw.body,
        contentType: raw.headers['content-type'],
      });
  }
}

/** Checks the header requirements of HTTP/1.1 that Node leaves to the request listener. */
function checkHeaders(headers: IncomingHttpHeaders): Result<undefined, Problem> {
  if (headers.host === undefined) {
    return err(malformedRequest(400, 'Missing Host', 'Send the header Host, as HTTP/1.1 requires.'));
  }
  if (headers.expect !== undefined && headers.expect.toLowerCase() !== '100-continue') {
    return err(malformedRequest(417, 'Unknown expectation', 'Send the request without the header Expect.'));
  }
  return ok(undefined);
}

/** Validates a caller's request and converts it to the core's types. */
export function parseCallerRequest(raw: RawCallerRequest): Result<ParsedCallerRequest, Problem> {
  const target = checkHeaders(raw.headers).andThen(() => parseTarget(raw.method, raw.target));
  return target.andThen(({ route, redirected }) =>
    parseIdempotencyKey(raw.headers).andThen((idempotencyKey) =>
      parseRequest(route, raw).map((request) => ({
        request,
        metadata: {
          keySha256: hashBearerKey(raw.headers.authorization),
          idempotencyKey,
          redirected,
          target: raw.target,
        },
      })),
    ),
  );
}
