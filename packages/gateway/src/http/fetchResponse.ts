import type { IncomingHttpHeaders } from 'node:http';
import type { Dispatcher } from 'undici';
import { ByteCollector } from '../requests/byteCollector.ts';
import type { ProgressTimeout } from './progressTimeout.ts';

/** Largest response that is read: more than a page of rows, of cache events or the configuration document takes. */
const MAX_RESPONSE_BYTES = 16_777_216;

export interface FetchedResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
}

export interface FetchedText {
  readonly status: number;
  readonly text: string;
}

export type FetchOptions = Pick<
  Dispatcher.DispatchOptions,
  'origin' | 'method' | 'path' | 'body' | 'headers'
>;

/**
 * Sends a request and reads the whole response; rejects if the call fails or its timeout aborts it. undici's `request`
 * creates a stream and listeners for each response, which cost more than the rest of a small call.
 *
 * @param onProgress called when a response with status 200 begins, and for each chunk of it
 */
export function fetchResponse(
  dispatcher: Dispatcher,
  options: FetchOptions,
  timeout: ProgressTimeout,
  onProgress: () => void = () => undefined,
): Promise<FetchedResponse> {
  return new Promise((resolve, reject) => {
    const handler = new ResponseHandler(timeout, onProgress, resolve, reject);
    dispatcher.dispatch({ ...options, headersTimeout: 0, bodyTimeout: 0 }, handler);
  });
}

/** Like `fetchResponse`; decodes the body as UTF-8. */
export async function fetchText(
  dispatcher: Dispatcher,
  options: FetchOptions,
  timeout: ProgressTimeout,
  onProgress?: () => void,
): Promise<FetchedText> {
  const { status, body } = await fetchResponse(dispatcher, options, timeout, onProgress);
  return { status, text: body.toString('utf8') };
}

class ResponseHandler implements Dispatcher.DispatchHandler {
  private controller: Dispatcher.DispatchController | undefined;
  private abortReason: Error | undefined;
  private status = 0;
  private headers: IncomingHttpHeaders = {};
  private readonly body = new ByteCollector();

  constructor(
    private readonly timeout: ProgressTimeout,
    private readonly onProgress: () => void,
    private readonly resolve: (response: FetchedResponse) => void,
    private readonly reject: (cause: Error) => void,
  ) {
    timeout.onAbort((reason) => {
      this.abortReason = reason;
      this.reject(reason);
      this.controller?.abort(reason);
    });
  }

  onRequestStart(controller: Dispatcher.DispatchController): void {
    this.controller = controller;
    if (this.abortReason !== undefined) {
      // The call was aborted while it waited for a connection; it is not sent.
      controller.abort(this.abortReason);
    }
  }

  onResponseStart(
    _controller: Dispatcher.DispatchController,
    status: number,
    headers: IncomingHttpHeaders,
  ): void {
    this.status = status;
    this.headers = headers;
    this.recordProgress();
  }

  onResponseData(_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.body.length + chunk.length > MAX_RESPONSE_BYTES) {
      this.timeout.abort(new Error(`response of more than ${MAX_RESPONSE_BYTES} bytes`));
      return;
    }
    this.recordProgress();
    this.body.append(chunk);
  }

  onResponseEnd(): void {
    this.resolve({ status: this.status, headers: this.headers, body: this.body.take() });
  }

  onResponseError(_controller: Dispatcher.DispatchController | undefined, cause: Error): void {
    this.reject(cause);
  }

  private recordProgress(): void {
    this.timeout.recordProgress();
    if (this.status === 200) {
      this.onProgress();
    }
  }
}
