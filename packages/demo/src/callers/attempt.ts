import { Verdict } from '@pimentostall/core';
import { expectedAnswer, expectedOutputTokens } from '@pimentostall/standins';
import type { Dispatcher } from 'undici';
import { request } from 'undici';
import { CallKind } from '../auditor/types.ts';
import type { DemoOrganisation } from '../place/organisations.ts';
import { PRICES } from '../place/prices.ts';
import { scopedIdentity } from './identity.ts';
import { readEventStream, StreamEndKind } from './readEventStream.ts';
import type { Work } from './work.ts';

/** How one attempt on one router ended. */
export enum AttemptKind {
  Answered = 'answered',
  Wrong = 'wrong',
  Refused = 'refused',
  Unreachable = 'unreachable',
  Broken = 'broken',
}

/** What one attempt on one router gave. */
export type AttemptResult =
  | { readonly kind: AttemptKind.Answered }
  | { readonly kind: AttemptKind.Wrong; readonly detail: string }
  | { readonly kind: AttemptKind.Refused; readonly verdict: Verdict; readonly reason: string }
  /** The connection was refused, so nothing was sent in this attempt. */
  | { readonly kind: AttemptKind.Unreachable; readonly detail: string }
  /** No answer and no verdict: the request may have reached the router. */
  | { readonly kind: AttemptKind.Broken; readonly detail: string };

const ATTEMPT_TIMEOUT_MS = 5_000;
const REDIRECT_STATUS = 307;
const MAX_REDIRECTS = 2;

export async function attemptWork(
  dispatcher: Dispatcher,
  address: string,
  organisation: DemoOrganisation,
  work: Work,
): Promise<AttemptResult> {
  try {
    return await follow(dispatcher, `http://${address}${work.path}`, organisation, work);
  } catch (error) {
    const detail = error instanceof Error ? error.message : String(error);
    return { kind: isConnectionRefused(error) ? AttemptKind.Unreachable : AttemptKind.Broken, detail };
  }
}

function isConnectionRefused(error: unknown): boolean {
  return error instanceof Error && 'code' in error && error.code === 'ECONNREFUSED';
}

async function follow(
  dispatcher: Dispatcher,
  firstUrl: string,
  organisation: DemoOrganisation,
  work: Work,
): Promise<AttemptResult> {
  let url = firstUrl;
  for (let redirectCount = 0; redirectCount <= MAX_REDIRECTS; redirectCount += 1) {
    const response = await send(dispatcher, url, organisation, work);
    const text = await response.body.text();
    if (response.statusCode !== REDIRECT_STATUS) {
      return judge(response.statusCode, text, organisation, work);
    }
    const location = response.headers.location;
    url = new URL(typeof location === 'string' ? location : '', url).href;
  }
  return { kind: AttemptKind.Broken, detail: `more than ${MAX_REDIRECTS} redirects` };
}

function send(
  dispatcher: Dispatcher,
  url: string,
  organisation: DemoOrganisation,
  work: Work,
): Promise<Dispatcher.ResponseData> {
  return request(url, {
    dispatcher,
    method: work.method,
    headers: {
      authorization: `Bearer ${organisation.bearerKey}`,
      'idempotency-key': work.key,
      ...(work.body === undefined ? {} : { 'content-type': 'application/json' }),
    },
    body: work.body ?? null,
    signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
  });
}

function judge(status: number, text: string, organisation: DemoOrganisation, work: Work): AttemptResult {
  if (status !== 200) {
    return readProblem(text, `status ${status}`);
  }
  return work.kind === CallKind.Chat
    ? judgeChat(text, organisation, work)
    : judgeService(text, organisation, work);
}

function judgeChat(body: string, organisation: DemoOrganisation, work: Work): AttemptResult {
  const end = readEventStream(body);
  switch (end.kind) {
    case StreamEndKind.Problem:
      return readProblem(end.problem, 'error event');
    case StreamEndKind.Broken:
      return { kind: AttemptKind.Broken, detail: 'the stream ended without its end mark' };
    case StreamEndKind.Done: {
      const identity = scopedIdentity(organisation.organisationId, work.key);
      const tokens = expectedOutputTokens(identity, PRICES.maxOutputTokens);
      return end.text === expectedAnswer(identity, tokens)
        ? { kind: AttemptKind.Answered }
        : {
            kind: AttemptKind.Wrong,
            detail: `text "${end.text.slice(0, 60)}" is not the answer to this request`,
          };
    }
  }
}

function judgeService(body: string, organisation: DemoOrganisation, work: Work): AttemptResult {
  const answer = parseObject(body);
  return answer?.key === scopedIdentity(organisation.organisationId, work.key)
    ? { kind: AttemptKind.Answered }
    : { kind: AttemptKind.Wrong, detail: `body "${body.slice(0, 80)}" is not the answer to this request` };
}

function readProblem(text: string, fallback: string): AttemptResult {
  const problem = parseObject(text);
  const verdict = Object.values(Verdict).find((candidate) => candidate === problem?.verdict);
  const reason = typeof problem?.reason === 'string' ? problem.reason : fallback;
  return verdict === undefined
    ? { kind: AttemptKind.Broken, detail: `${fallback} without a verdict` }
    : { kind: AttemptKind.Refused, verdict, reason };
}

function parseObject(text: string): Record<string, unknown> | undefined {
  try {
    return JSON.parse(text) as Record<string, unknown>;
  } catch {
    return undefined;
  }
}
