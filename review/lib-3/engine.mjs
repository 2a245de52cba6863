/** Stand-in of a sound engine of one service: model engines stream events, others answer with a small body. */
import { createServer } from 'node:http';

const HEARTBEAT_MS = 1_200;
const EVENT_GAP_MS = 8;
export const TOKENS_PER_EVENT = 6;

export class Engine {
  /** @param {(run: {engine: string, service: string, id: string, headers: object, path: string}) => void} onRun */
  constructor({ id, service, zone, store, onRun, slots = 64 }) {
    Object.assign(this, { id, service, zone, store, onRun, slots });
    this.born = Date.now();
    this.sequence = 0;
    this.server = createServer({ keepAliveTimeout: 30_000 }, (request, response) => {
      request.resume();
      request.on('end', () => void this.#serve(request, response));
    });
  }

  async start(host, port) {
    await new Promise((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
    this.address = `${host}:${port}`;
    this.beat();
    this.timer = setInterval(() => this.beat(), HEARTBEAT_MS);
  }

  close() {
    clearInterval(this.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  beat() {
    this.sequence += 1;
    this.store.put('servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      'warmup-left-ms': 0,
      sequence: this.sequence,
      born: this.born,
    });
  }

  async #serve({ headers, url, method }, response) {
    if (url.startsWith('/api/kv-events')) {
      await sleep(Math.min(1_000, Number(headers['wait-ms'] ?? 0)));
      respondJson(response, { epoch: this.born, next: 0, lost: false, events: [] });
      return;
    }
    if (url === '/healthz') {
      response.writeHead(200, { 'X-Instance-Id': this.id, 'Content-Length': 0 });
      response.end();
      return;
    }
    const expected = headers['x-expected-instance'];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { 'X-Instance-Id': this.id, 'Content-Length': 0 });
      response.end();
      return;
    }
    const id = headers['x-attempt-id'];
    if (id === undefined) {
      response.writeHead(400, { 'X-Not-Executed': '1', 'Content-Length': 0 });
      response.end();
      return;
    }
    this.onRun({ engine: this.id, service: this.service, id, headers, path: url, method });
    const common = { 'X-Attempt-Id': id, 'X-Response-Signature': `${this.id}.${id}` };
    const usage = headers['x-token-usage'];
    if (usage === undefined) {
      await sleep(20);
      const body = `${this.service} ran ${id}`;
      response.writeHead(200, { ...common, 'Content-Length': Buffer.byteLength(body) });
      response.end(body);
      return;
    }
    const count = Math.ceil(Number(usage.split(',')[1]) / TOKENS_PER_EVENT);
    response.writeHead(200, { ...common, 'Content-Type': 'text/event-stream', 'X-Weight-Versions': '1' });
    for (let number = Number(headers['last-event-id'] ?? 0) + 1; number <= count; number += 1) {
      await sleep(EVENT_GAP_MS);
      if (response.destroyed) {
        return;
      }
      response.write(`id: ${number}\ndata: ${id}\n\n`);
    }
    response.end();
  }
}

function respondJson(response, value) {
  const body = JSON.stringify(value);
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
  response.end(body);
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
