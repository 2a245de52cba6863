import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { RunningServer } from '../common/httpServer.ts';
import { parseAddress, readJson, RequestError, sendJson, startHttpServer } from '../common/httpServer.ts';
import { DeliveryQueue } from './deliveryQueue.ts';
import { TrafficShaper } from './trafficShaper.ts';
import type { LinkSettings, RelaySettings } from './settings.ts';
import { linkControlSchema } from './settings.ts';

/** TCP relays between two regions, with latency, limited bandwidth and simulated network partitions. */
class LinkServer {
  readonly #bytesByListenAddress = new Map<string, number>();
  readonly #sockets = new Set<Socket>();
  readonly #servers: Server[] = [];
  readonly #outboundShaper: TrafficShaper;
  readonly #inboundShaper: TrafficShaper;
  #cut = false;

  constructor(settings: LinkSettings) {
    this.#outboundShaper = new TrafficShaper(settings.delayMs, settings.bytesPerSecond);
    this.#inboundShaper = new TrafficShaper(settings.delayMs, settings.bytesPerSecond);
  }

  async listen(relay: RelaySettings): Promise<void> {
    this.#bytesByListenAddress.set(relay.listen, 0);
    const server = createServer((socket) => {
      this.#accept(relay, socket);
    });
    this.#servers.push(server);
    const { host, port } = parseAddress(relay.listen);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const endpoint = `${request.method ?? ''} ${request.url ?? ''}`;
    switch (endpoint) {
      case 'POST /control': {
        const { cut } = await readJson(request, linkControlSchema);
        this.#setCut(cut);
        sendJson(response, 200, {});
        return;
      }
      case 'GET /audit':
        sendJson(response, 200, { bytes: Object.fromEntries(this.#bytesByListenAddress) });
        return;
      default:
        throw new RequestError(404, `the link has no endpoint ${endpoint}`);
    }
  }

  close(): void {
    this.#setCut(true);
    for (const server of this.#servers) {
      server.close();
    }
  }

  #setCut(cut: boolean): void {
    this.#cut = cut;
    if (cut) {
      for (const socket of this.#sockets) {
        socket.destroy();
      }
    }
  }

  #accept(relay: RelaySettings, clientSocket: Socket): void {
    if (this.#cut) {
      clientSocket.destroy();
      return;
    }
    const targetSocket = connect(parseAddress(relay.target));
    const [forwardShaper, returnShaper] = relay.reversed
      ? [this.#inboundShaper, this.#outboundShaper]
      : [this.#outboundShaper, this.#inboundShaper];
    this.#forward(relay.listen, clientSocket, targetSocket, forwardShaper);
    this.#forward(relay.listen, targetSocket, clientSocket, returnShaper);
  }

  /** Forwards each chunk at its arrival time, in the order in which the chunks were sent. */
  #forward(listen: string, source: Socket, destination: Socket, shaper: TrafficShaper): void {
    const queue = new DeliveryQueue();
    this.#sockets.add(source);
    source.setNoDelay(true);
    source.on('data', (data: Buffer) => {
      this.#bytesByListenAddress.set(listen, (this.#bytesByListenAddress.get(listen) ?? 0) + data.length);
      queue.add(shaper.scheduleTransfer(data.length, Date.now()), () => destination.write(data));
    });
    source.on('end', () => {
      queue.add(shaper.scheduleTransfer(0, Date.now()), () => destination.end());
    });
    source.on('error', () => {
      destination.destroy();
    });
    source.on('close', () => {
      this.#sockets.delete(source);
      queue.add(shaper.scheduleTransfer(0, Date.now()), () => {
        destination.destroySoon();
      });
    });
  }
}

export async function startLink(settings: LinkSettings): Promise<RunningServer> {
  const link = new LinkServer(settings);
  for (const relay of settings.relays) {
    await link.listen(relay);
  }
  const control = await startHttpServer(settings.controlAddress, (request, response) =>
    link.handle(request, response),
  );
  return {
    close: async () => {
      link.close();
      await control.close();
    },
  };
}
