// Mock engine that streams a fixed number of tokens as fast as its socket accepts them, so that the process in front
// of it is the bottleneck. The engine stand-in writes to its clients only every 5 ms and would limit the throughput.
import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';

const [address = '', tokenCountArgument = '0'] = process.argv.slice(2);
const tokenCount = Number(tokenCountArgument);
const [host = '', port = ''] = address.split(':');

const chunks = Array.from({ length: tokenCount }, (_, index) => {
  const usage = { reason: 'length', promptTokens: 16, cachedPromptTokens: 0, outputTokens: tokenCount };
  const finish = index === tokenCount - 1 ? usage : undefined;
  return `data: ${JSON.stringify({ index, text: `token${index} `, finish })}\n\n`;
});
const load = JSON.stringify({
  runningCount: 0,
  queuedCount: 0,
  leaving: false,
  ageMs: 0,
  cachedPrefixHashes: [],
});

/** Writes one token per event loop iteration, like an engine with continuous batching. */
function streamChunks(response: ServerResponse, index: number): void {
  if (index === chunks.length) {
    response.end();
    return;
  }
  const next = () => {
    streamChunks(response, index + 1);
  };
  if (response.destroyed) {
    return;
  }
  if (response.write(chunks[index])) {
    setImmediate(next);
  } else {
    response.once('drain', next);
  }
}

const server = createServer((request, response) => {
  if (request.method === 'GET') {
    response.end(load);
    return;
  }
  request.resume();
  request.once('end', () => {
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    streamChunks(response, 0);
  });
});
server.listen(Number(port), host);
process.once('SIGTERM', () => process.exit(0));
