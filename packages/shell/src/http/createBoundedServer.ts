import type { RequestListener, Server } from 'node:http';
import { createServer } from 'node:http';
import type { ShellOptions } from '../options.ts';
import { respondToClientErrors } from './clientErrors.ts';

/**
 * Creates an HTTP server with limits on headers, connections and times, so that slow or broken clients use
 * few resources.
 */
export function createBoundedServer(options: ShellOptions, listener: RequestListener): Server {
  const server = createServer(
    {
      maxHeaderSize: options.maxHeaderBytes,
      headersTimeout: options.headersTimeoutMs,
      requestTimeout: options.requestTimeoutMs,
      keepAliveTimeout: options.keepAliveTimeoutMs,
      // Node rejects a missing Host without problem details, so the listener rejects it instead.
      requireHostHeader: false,
    },
    listener,
  );
  server.on('checkExpectation', listener);
  server.maxConnections = options.maxConnections;
  respondToClientErrors(server);
  return server;
}
