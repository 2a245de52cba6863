// The pipe, the baseline of the benchmark: a proxy that only relays each request to an engine and the response back.
import { createServer } from 'node:http';
import { pipeline } from 'node:stream/promises';
import { Agent } from 'undici';

const [address = '', ...engines] = process.argv.slice(2);
const [host = '', port = ''] = address.split(':');
const agent = new Agent({ pipelining: 1 });
let count = 0;

const server = createServer((request, response) => {
  const engine = engines[(count += 1) % engines.length] ?? '';
  void agent
    .request({ origin: `http://${engine}`, path: '/v1/streams', method: 'POST', body: request })
    .then(({ statusCode, headers, body }) => {
      response.writeHead(statusCode, { 'content-type': String(headers['content-type']) });
      response.flushHeaders();
      return pipeline(body, response);
    })
    .catch(() => {
      response.destroy();
    });
});
server.listen(Number(port), host);
process.once('SIGTERM', () => process.exit(0));
