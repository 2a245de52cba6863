import type { Problem } from '@pimentostall/core';
import { RefusalReason, Verdict } from '@pimentostall/core';
import { BodyFault } from './readBody.ts';

export const PROBLEM_CONTENT_TYPE = 'application/problem+json';

/** Problem for a request that the adapter itself rejects: it never reached the core, so it did not run. */
export function malformed(status: number, title: string, detail: string): Problem {
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

export function bodyProblem(fault: BodyFault, maxBytes: number): Problem {
  switch (fault) {
    case BodyFault.TooLarge:
      return malformed(413, 'Body too large', `The body may have at most ${maxBytes} bytes.`);
    case BodyFault.NotUtf8:
      return malformed(400, 'Body is not UTF-8', 'Send the body as UTF-8 text.');
    case BodyFault.Encoded:
      return malformed(415, 'Encoded body', 'Send the body without Content-Encoding.');
    case BodyFault.Aborted:
      return malformed(400, 'Incomplete body', 'The connection ended before the whole body arrived.');
  }
}
