import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { ShellOptions } from '../options.ts';
import { answerClientErrors } from './clientErrors.ts';

/** An HTTP server with bounded headers, connections and times, so that slow or broken clients hold little. */
export function createBoundedServer(options: ShellOptions, listener: RequestListener): Server {
  const server = createServer(
    {
      maxHeaderSize: options.maxHeaderBytes,
      headersTimeout: options.headersTimeoutMs,
      requestTimeout: options.requestTimeoutMs,
      keepAliveTimeout: options.keepAliveTimeoutMs,
      // Node refuses these without problem details; the listener refuses them with them.
      requireHostHeader: false,
    },
    listener,
  );
  server.on('checkExpectation', listener);
  server.maxConnections = options.maxConnections;
  answerClientErrors(server);
  return server;
}
