import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { EventKind } from '@pimentostall/core';
import { hashBearerKey } from '../http/bearerKey.ts';
import { createBoundedServer } from '../http/createBoundedServer.ts';
import { closeServer, listen, trackOpenResponses } from '../http/listen.ts';
import { bodyProblem, malformedRequest, PROBLEM_CONTENT_TYPE, problemBody } from '../http/problems.ts';
import { readBody } from '../http/readBody.ts';
import type { ShellOptions } from '../options.ts';
import type { EventSink } from '../routerLoop.ts';

const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** HTTP server for operators: the administration API and the metrics. */
export class AdminServer {
  private readonly responses = new Map<string, ServerResponse>();
  private readonly server: Server;
  private readonly openResponses: ReadonlySet<ServerResponse>;

  constructor(
    private readonly sink: EventSink,
    private readonly options: ShellOptions,
    private readonly metricsText: () => string,
  ) {
    this.server = createBoundedServer(options, (request, response) => {
      this.handleRequest(request, response).catch(() => {
        response.destroy();
      });
    });
    this.openResponses = trackOpenResponses(this.server);
  }

  listen(address: string): Promise<string> {
    return listen(this.server, address);
  }

  close(): Promise<void> {
    return closeServer(this.server, this.openResponses, this.options.closeGraceMs);
  }

  reply(exchangeId: string, status: number, body: string): void {
    const contentType = status >= 400 ? PROBLEM_CONTENT_TYPE : 'application/json';
    const response = this.responses.get(exchangeId);
    response?.writeHead(status, { 'Content-Type': contentType }).end(body);
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const body = await readBody(request, this.options.maxBodyBytes);
    if (body.isErr()) {
      const problem = bodyProblem(body.error, this.options.maxBodyBytes);
      sendProblem(response, problem.status, problemBody(problem));
      return;
    }
    const target = request.url ?? '';
    if (!target.startsWith('/')) {
      sendProblem(
        response,
        400,
        problemBody(malformedRequest(400, 'Malformed path', 'Start the path with a slash.')),
      );
      return;
    }
    const [path = '', ...query] = target.split('?');
    if (request.method === 'GET' && path === '/v1/metrics') {
      response.writeHead(200, { 'Content-Type': METRICS_CONTENT_TYPE }).end(this.metricsText());
      return;
    }
    this.submitRequest(request, response, path, query.join('?'), body.value);
  }

  private submitRequest(
    request: IncomingMessage,
    response: ServerResponse,
    path: string,
    query: string,
    body: string,
  ): void {
    const exchangeId = randomUUID();
    this.responses.set(exchangeId, response);
    response.on('close', () => this.responses.delete(exchangeId));
    const adminRequest = {
      method: request.method ?? '',
      path,
      query: Object.fromEntries(new URLSearchParams(query)),
      body,
      keySha256: hashBearerKey(request.headers.authorization),
    };
    this.sink.submit({ kind: EventKind.AdminArrived, exchangeId, request: adminRequest });
  }
}

function sendProblem(response: ServerResponse, status: number, body: string): void {
  response.writeHead(status, { 'Content-Type': PROBLEM_CONTENT_TYPE, Connection: 'close' }).end(body);
}
