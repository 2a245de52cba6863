import { Verdict } from '@pimentostall/core';
import { expectedAnswer, expectedOutputTokens } from '@pimentostall/standins';
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { CallKind } from '../auditor/types.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import { PRICES } from '../deployment/prices.ts';
import type { CallerRequest } from './callerRequest.ts';
import { scopedRequestId } from './identity.ts';
import { readEventStream, StreamEndKind } from './readEventStream.ts';

/** How one attempt at one router ended. */
export enum AttemptKind {
  Answered = 'answered',
  WrongAnswer = 'wrong',
  Refused = 'refused',
  Unreachable = 'unreachable',
  Broken = 'broken',
}

/** Result of one attempt at one router. */
export type AttemptResult =
  | { readonly kind: AttemptKind.Answered }
  | { readonly kind: AttemptKind.WrongAnswer; readonly detail: string }
  | { readonly kind: AttemptKind.Refused; readonly verdict: Verdict; readonly reason: string }
  /** No connection was made, so this attempt sent nothing. */
  | { readonly kind: AttemptKind.Unreachable; readonly detail: string }
  /** Neither an answer nor a verdict arrived; the request may have reached the router. */
  | { readonly kind: AttemptKind.Broken; readonly detail: string };

const ATTEMPT_TIMEOUT_MS = 5_000;
const REDIRECT_STATUS = 307;
const MAX_REDIRECTS = 2;

export async function sendAttempt(
  dispatcher: Dispatcher,
  address: string,
  organisation: DemoOrganisation,
  callerRequest: CallerRequest,
): Promise<AttemptResult> {
  try {
    return await sendFollowingRedirects(
      dispatcher,
      `http://${address}${callerRequest.path}`,
      organisation,
      callerRequest,
    );
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return { kind: isConnectionRefused(error) ? AttemptKind.Unreachable : AttemptKind.Broken, detail };
  }
}

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

async function sendFollowingRedirects(
  dispatcher: Dispatcher,
  firstUrl: string,
  organisation: DemoOrganisation,
  callerRequest: CallerRequest,
): Promise<AttemptResult> {
  let url = firstUrl;
  for (let redirectCount = 0; redirectCount <= MAX_REDIRECTS; redirectCount += 1) {
    const response = await sendRequest(dispatcher, url, organisation, callerRequest);
    const text = await response.body.text();
    if (response.statusCode !== REDIRECT_STATUS) {
      return classifyResponse(response.statusCode, text, organisation, callerRequest);
    }
    const location = response.headers.location;
    url = new URL(typeof location === 'string' ? location : '', url).href;
  }
  return { kind: AttemptKind.Broken, detail: `more than ${MAX_REDIRECTS} redirects` };
}

function sendRequest(
  dispatcher: Dispatcher,
  url: string,
  organisation: DemoOrganisation,
  callerRequest: CallerRequest,
): Promise<Dispatcher.ResponseData> {
  return request(url, {
    dispatcher,
    method: callerRequest.method,
    headers: {
      authorization: `Bearer ${organisation.bearerKey}`,
      'idempotency-key': callerRequest.key,
      ...(callerRequest.body === undefined ? {} : { 'content-type': 'application/json' }),
    },
    body: callerRequest.body ?? null,
    signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
  });
}

function classifyResponse(
  status: number,
  text: string,
  organisation: DemoOrganisation,
  callerRequest: CallerRequest,
): AttemptResult {
  if (status !== 200) {
    return classifyProblem(text, `status ${status}`);
  }
  return callerRequest.kind === CallKind.Chat
    ? classifyChatResponse(text, organisation, callerRequest)
    : classifyServiceResponse(text, organisation, callerRequest);
}

function classifyChatResponse(
  body: string,
  organisation: DemoOrganisation,
  callerRequest: CallerRequest,
): AttemptResult {
  const end = readEventStream(body);
  switch (end.kind) {
    case StreamEndKind.Problem:
      return classifyProblem(end.problem, 'error event');
    case StreamEndKind.Broken:
      return { kind: AttemptKind.Broken, detail: 'the stream ended without [DONE]' };
    case StreamEndKind.Done: {
      const identity = scopedRequestId(organisation.organisationId, callerRequest.key);
      const tokens = expectedOutputTokens(identity, PRICES.maxOutputTokens);
      return end.text === expectedAnswer(identity, tokens)
        ? { kind: AttemptKind.Answered }
        : {
            kind: AttemptKind.WrongAnswer,
            detail: `text "${end.text.slice(0, 60)}" is not the answer to this request`,
          };
    }
  }
}

function classifyServiceResponse(
  body: string,
  organisation: DemoOrganisation,
  callerRequest: CallerRequest,
): AttemptResult {
  const answer = tryParseJson(body);
  return answer?.key === scopedRequestId(organisation.organisationId, callerRequest.key)
    ? { kind: AttemptKind.Answered }
    : {
        kind: AttemptKind.WrongAnswer,
        detail: `body "${body.slice(0, 80)}" is not the answer to this request`,
      };
}

function classifyProblem(text: string, source: string): AttemptResult {
  const problem = tryParseJson(text);
  const verdict = Object.values(Verdict).find((candidate) => candidate === problem?.verdict);
  const reason = typeof problem?.reason === 'string' ? problem.reason : source;
  return verdict === undefined
    ? { kind: AttemptKind.Broken, detail: `${source} without a verdict` }
    : { kind: AttemptKind.Refused, verdict, reason };
}

function tryParseJson(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
