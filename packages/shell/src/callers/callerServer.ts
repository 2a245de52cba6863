import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { Problem } from '@pimentostall/core';
import { EventKind, RefusalReason, Verdict } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { createBoundedServer } from '../http/createBoundedServer.ts';
import { closeServer, listen, trackOpenResponses } from '../http/listen.ts';
import { bodyProblem, malformedRequest, problemBody, problemHeaders } from '../http/problems.ts';
import { readBody } from '../http/readBody.ts';
import type { ShellOptions } from '../options.ts';
import type { EventSink } from '../routerLoop.ts';
import { CallerExchange } from './callerExchange.ts';
import type { ParsedCallerRequest } from './parseCallerRequest.ts';
import { parseCallerRequest } from './parseCallerRequest.ts';
import { parseTarget } from './parseTarget.ts';

const DRAINING_PROBLEM: Problem = {
  status: 503,
  title: 'Draining',
  detail: 'This router is stopping. Ask /v1/entry of another address.',
  reason: RefusalReason.Draining,
  verdict: Verdict.DidNotRun,
  requestId: undefined,
  retryAfterSeconds: 1,
};

/** HTTP server for callers: parses their requests, submits them to the core and tracks the open exchanges. */
export class CallerServer {
  private closing = false;
  private readonly exchanges = new Map<string, CallerExchange>();
  private readonly server: Server;
  private readonly openResponses: ReadonlySet<ServerResponse>;

  constructor(
    private readonly sink: EventSink,
    private readonly options: ShellOptions,
  ) {
    this.server = createBoundedServer(options, (request, response) => {
      void this.handleRequest(request, response);
    });
    this.openResponses = trackOpenResponses(this.server);
  }

  listen(address: string): Promise<string> {
    return listen(this.server, address);
  }

  /** Waits for open responses to finish; requests that arrive meanwhile are rejected. */
  close(): Promise<void> {
    this.closing = true;
    return closeServer(this.server, this.openResponses, this.options.closeGraceMs);
  }

  /** The open exchange with this ID; undefined once its response has closed. */
  findExchange(exchangeId: string): CallerExchange | undefined {
    return this.exchanges.get(exchangeId);
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    if (this.closing) {
      sendProblem(request, response, DRAINING_PROBLEM);
      return;
    }
    try {
      const parsed = await this.readRequest(request);
      if (parsed.isErr()) {
        sendProblem(request, response, parsed.error);
        return;
      }
      this.submitRequest(response, parsed.value);
    } catch {
      sendProblem(
        request,
        response,
        malformedRequest(400, 'Malformed request', 'The request could not be read.'),
      );
    }
  }

  private async readRequest(request: IncomingMessage): Promise<Result<ParsedCallerRequest, Problem>> {
    const method = request.method ?? '';
    const target = request.url ?? '';
    // Unknown routes are rejected before the body is read.
    const route = parseTarget(method, target);
    if (route.isErr()) {
      return err(route.error);
    }
    const { maxBodyBytes } = this.options;
    const body = await readBody(request, maxBodyBytes);
    if (body.isErr()) {
      return err(bodyProblem(body.error, maxBodyBytes));
    }
    return ok(body.value).andThen((text) =>
      parseCallerRequest({ method, target, headers: request.headers, body: text }),
    );
  }

  private submitRequest(response: ServerResponse, parsed: ParsedCallerRequest): void {
    const exchangeId = randomUUID();
    if (response.destroyed) {
      return;
    }
    this.exchanges.set(exchangeId, new CallerExchange(response, this.options));
    response.on('close', () => {
      this.exchanges.delete(exchangeId);
      if (!response.writableFinished) {
        this.sink.submit({ kind: EventKind.CallerGone, exchangeId });
      }
    });
    this.sink.submit({ kind: EventKind.CallerArrived, exchangeId, ...parsed });
  }
}

function sendProblem(request: IncomingMessage, response: ServerResponse, problem: Problem): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  const headers = problemHeaders(problem);
  if (!request.complete) {
    // The rest of the body stays unread, so the connection cannot be reused.
    headers.Connection = 'close';
  }
  response.writeHead(problem.status, headers);
  response.end(problemBody(problem));
}
