import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { boundSmallServer } from './inboundServer.ts';
import { DocumentRelay } from './peerDocuments.ts';
import { answerLoadCall } from './peerLoads.ts';
import { answerLoanCall } from './peerLoans.ts';
import { answerSuspectCall } from './peerSuspects.ts';

/** Upper bound of a request body: the largest list of suspects; loan requests are far smaller. */
const MAX_PEER_REQUEST_BYTES = 262_144;

/** Creates the HTTP server for calls of peers. */
export function createPeerServer(context: GatewayContext): Server {
  const documentRelay = new DocumentRelay(context);
  const server = createServer((message, response) => {
    const answer = (body: Buffer): void => {
      const url = message.url ?? '/';
      const text = body.toString('utf8');
      if (
        documentRelay.answerPoll(url, response) ||
        answerLoanCall(context, url, text, response) ||
        answerSuspectCall(context, url, text, response) ||
        answerLoadCall(context, url, text, response)
      ) {
        return;
      }
      context.log(LogLevel.Warn, 'invalid request from peer rejected', {
        url: message.url,
        sizeBytes: body.length,
      });
      response.writeHead(400, { 'Content-Length': 0 });
      response.end();
    };
    inbound.connectionOf(message.socket)?.readBody(message, response, {
      maxBytes: MAX_PEER_REQUEST_BYTES,
      onComplete: answer,
      onExceeded: () => {
        context.log(LogLevel.Warn, 'request from peer rejected; its body is too large', { url: message.url });
        response.writeHead(413, { 'Content-Length': 0, Connection: 'close' });
        response.end();
      },
    });
  });
  const inbound = boundSmallServer(context, server, 'peers');
  return server;
}
