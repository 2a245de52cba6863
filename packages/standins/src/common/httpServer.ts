import type { IncomingMessage, RequestListener, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import { z } from 'zod';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** A server that runs until it is closed. */
export interface RunningServer {
  close(): Promise<void>;
}

export interface HostPort {
  readonly host: string;
  readonly port: number;
}

/** A request whose body or form the stand-in does not accept; answered with its status. */
export class RequestError extends Error {
  constructor(
    readonly status: number,
    message: string,
  ) {
    super(message);
  }
}

export function splitAddress(address: string): HostPort {
  const [host = '', port = '0'] = address.split(':');
  return { host, port: Number(port) };
}

export type AsyncHandler = (request: IncomingMessage, response: ServerResponse) => Promise<void>;

/** Listens on the address; a handler's error becomes a 4xx or 500 answer. */
export async function startHttpServer(address: string, handler: AsyncHandler): Promise<RunningServer> {
  const listener: RequestListener = (request, response) => {
    handler(request, response).catch((error: unknown) => {
      answerError(response, error);
    });
  };
  // Callers keep connections between calls; a short limit would close them just as a call is sent.
  const server = createServer({ keepAliveTimeout: 60_000 }, listener);
  const { host, port } = splitAddress(address);
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

function answerError(response: ServerResponse, error: unknown): void {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const status = error instanceof RequestError ? error.status : 500;
  sendJson(response, status, { error: error instanceof Error ? error.message : String(error) });
}

export async function readBody(request: IncomingMessage): Promise<Buffer> {
  const parts: Buffer[] = [];
  let sizeBytes = 0;
  for await (const part of request as AsyncIterable<Buffer>) {
    sizeBytes += part.length;
    if (sizeBytes > MAX_BODY_BYTES) {
      throw new RequestError(413, `the body exceeds ${MAX_BODY_BYTES} bytes`);
    }
    parts.push(part);
  }
  return Buffer.concat(parts);
}

/** Reads a JSON body and checks it; a fault is answered with 400 and names the field. */
export async function readJson<T>(request: IncomingMessage, schema: z.ZodType<T>): Promise<T> {
  const body = await readBody(request);
  let document: unknown;
  try {
    document = JSON.parse(body.toString('utf8'));
  } catch {
    throw new RequestError(400, 'the body is not valid JSON');
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
