import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { z } from 'zod';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

export interface RunningServer {
  close(): Promise<void>;
}

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** An invalid request; `startHttpServer` turns it into an error response with this status. */
export class RequestError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

export function parseAddress(address: string): HostPort {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

export type AsyncRequestHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Starts an HTTP server. A `RequestError` of the handler is sent with its status, any other error as a 500. */
export async function startHttpServer(address: string, handler: AsyncRequestHandler): Promise<RunningServer> {
  const listener: RequestListener = (request, response) => {
    handler(request, response).catch((error: unknown) => {
      sendError(response, error);
    });
  };
  // Clients reuse connections. A short timeout could close one just as the next request is sent.
  const server = createServer({ keepAliveTimeout: 60_000 }, listener);
  const { host, port } = parseAddress(address);
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
  return {
    close: () =>
      new Promise((resolve) => {
        server.close(() => {
          resolve();
        });
        server.closeAllConnections();
      }),
  };
}

function sendError(response: ServerResponse, error: unknown): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const status = error instanceof RequestError ? error.status : 500;
  sendJson(response, status, { error: error instanceof Error ? error.message : String(error) });
}

export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let sizeBytes = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    sizeBytes += part.length;
    if (sizeBytes > MAX_BODY_BYTES) {
      throw new RequestError(413, `the request body exceeds ${MAX_BODY_BYTES} bytes`);
    }
    chunks.push(part);
  }
  return Buffer.concat(chunks);
}

/** Reads and validates a JSON body; throws a 400 that names the invalid field. */
export async function readJson<T>(request: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
  const body = await readBody(request);
  let document: unknown;
  try {
    document = JSON.parse(body.toString('utf8'));
  } catch {
    throw new RequestError(400, 'the request body is not valid JSON');
  }
  const parsed = schema.safeParse(document);
  if (!parsed.success) {
    throw new RequestError(400, z.prettifyError(parsed.error));
  }
  return parsed.data;
}

export function sendJson(response: ServerResponse, status: number, body: unknown): void {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(body));
}
