import type { Server } from 'node:http';
import { createServer } from 'node:http';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { DocumentRelay } from './peerDocuments.ts';
import { answerLoadCall } from './peerLoads.ts';
import { answerLoanCall } from './peerLoans.ts';
import { answerSuspectCall } from './peerSuspects.ts';

/** Upper bound of a request body: the largest list of suspects; loan requests are far smaller. */
const MAX_PEER_REQUEST_BYTES = 262_144;

/** Creates the HTTP server for calls of peers. */
export function createPeerServer(context: GatewayContext): Server {
  const documentRelay = new DocumentRelay(context);
  return createServer((message, response) => {
    const chunks: Buffer[] = [];
    let sizeBytes = 0;
    message.on('data', (chunk: Buffer) => {
      sizeBytes += chunk.length;
      if (sizeBytes <= MAX_PEER_REQUEST_BYTES) {
        chunks.push(chunk);
      }
    });
    message.on('end', () => {
      const url = message.url ?? '/';
      const text = Buffer.concat(chunks).toString('utf8');
      if (
        documentRelay.answerPoll(url, response) ||
        answerLoanCall(context, url, text, response) ||
        answerSuspectCall(context, url, text, response) ||
        answerLoadCall(context, url, text, response)
      ) {
        return;
      }
      context.log(LogLevel.Warn, 'invalid request from peer rejected', { url: message.url, sizeBytes });
      response.writeHead(400, { 'Content-Length': 0 });
      response.end();
    });
  });
}
