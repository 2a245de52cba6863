import type { Problem } from '@pimentostall/core';
import { RefusalReason, Verdict } from '@pimentostall/core';
import { BodyError } from './readBody.ts';

export const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** Problem for a request that the adapter itself rejects: it never reached the core, so it did not run. */
export function malformedRequest(status: number, title: string, detail: string): Problem {
  return {
    status,
    title,
    detail,
    reason: RefusalReason.MalformedRequest,
    verdict: Verdict.DidNotRun,
    requestId: undefined,
    retryAfterSeconds: undefined,
  };
}

/** Serializes problem details (RFC 9457) with their extension members; undefined members are omitted. */
export function problemBody(problem: Problem): string {
  return JSON.stringify({
    type: 'about:blank',
    title: problem.title,
    status: problem.status,
    detail: problem.detail,
    reason: problem.reason,
    verdict: problem.verdict,
    requestId: problem.requestId,
  });
}

export function problemHeaders(problem: Problem): Record<string, string> {
  const headers: Record<string, string> = { 'Content-Type': PROBLEM_CONTENT_TYPE };
  if (problem.retryAfterSeconds !== undefined) {
    headers['Retry-After'] = String(Math.ceil(problem.retryAfterSeconds));
  }
  if (problem.requestId !== undefined) {
    headers['Idempotency-Key'] = problem.requestId;
  }
  return headers;
}

export function bodyProblem(bodyError: BodyError, maxBytes: number): Problem {
  switch (bodyError) {
    case BodyError.TooLarge:
      return malformedRequest(413, 'Body too large', `The body may have at most ${maxBytes} bytes.`);
    case BodyError.NotUtf8:
      return malformedRequest(400, 'Body is not UTF-8', 'Send the body as UTF-8 text.');
    case BodyError.Encoded:
      return malformedRequest(415, 'Encoded body', 'Send the body without Content-Encoding.');
    case BodyError.Aborted:
      return malformedRequest(400, 'Incomplete body', 'The connection ended before the whole body arrived.');
  }
}
