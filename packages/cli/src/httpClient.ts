import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { request } from 'undici';

/** Long enough for the router to try the store several times before it responds to a change. */
const REQUEST_TIMEOUT_MS = 30_000;

export interface HttpRequest {
  readonly method: 'GET' | 'PUT' | 'POST';
  readonly address: string;
  readonly path: string;
  readonly key?: string;
  readonly body?: string;
}

export interface HttpResponse {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;
}

/** Sends a request to a router or the platform; the error says why there was no usable response. */
export async function sendHttpRequest(call: HttpRequest): Promise<Result<HttpResponse, string>> {
  const { method, address, path, key, body } = call;
  try {
    const response = await request(`http://${address}${path}`, {
      method,
      body,
      headers: key === undefined ? {} : { authorization: `Bearer ${key}` },
      headersTimeout: REQUEST_TIMEOUT_MS,
      bodyTimeout: REQUEST_TIMEOUT_MS,
    });
    const parsed: unknown = await response.body.json();
    return ok({ status: response.statusCode, body: isObject(parsed) ? parsed : {} });
  } catch (cause) {
    return err(
      `No usable response from ${address}: ${cause instanceof Error ? cause.message : String(cause)}`,
    );
  }
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}
