import type { Server, ServerResponse } from 'node:http';
import type { Duplex } from 'node:stream';
import type { Problem } from '@pimentostall/core';
import { malformedRequest, PROBLEM_CONTENT_TYPE, problemBody } from './problems.ts';

function parserErrorProblem(code: string | undefined): Problem {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return malformedRequest(431, 'Headers too large', 'Send fewer or shorter headers.');
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return malformedRequest(408, 'Request timed out', 'Send the whole request without long breaks.');
    default:
      return malformedRequest(400, 'Malformed HTTP request', 'The request is not valid HTTP/1.1.');
  }
}

/** Responds with problem details to requests that Node's HTTP parser rejects, and closes the connection. */
export function respondToClientErrors(server: Server): void {
  const responses = new WeakMap<Duplex, ServerResponse>();
  server.on('request', (request, response) => {
    responses.set(request.socket, response);
  });
  server.on('clientError', (cause: NodeJS.ErrnoException, socket: Duplex) => {
    const response = responses.get(socket);
    // A problem written into a partly sent response would be read as part of it.
    const responseInProgress = response !== undefined && response.headersSent && !response.writableFinished;
    if (!socket.writable || cause.code === 'ECONNRESET' || responseInProgress) {
      socket.destroy();
      return;
    }
    const problem = parserErrorProblem(cause.code);
    const body = problemBody(problem);
    const head = [
      `HTTP/1.1 ${problem.status} ${problem.title}`,
      `Content-Type: ${PROBLEM_CONTENT_TYPE}`,
      `Content-Length: ${Buffer.byteLength(body)}`,
      'Connection: close',
    ];
    socket.end(`${head.join('\r\n')}\r\n\r\n${body}`);
  });
}
