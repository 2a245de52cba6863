import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Server, Socket } from 'node:net';
import { connect, createServer } from 'node:net';
import type { RunningServer } from '../common/httpServer.ts';
import { readJson, RequestError, sendJson, splitAddress, startHttpServer } from '../common/httpServer.ts';
import { DeliveryQueue } from './deliveryQueue.ts';
import { LinkPacer } from './linkPacer.ts';
import type { LinkSettings, RelaySettings } from './settings.ts';
import { linkControlSchema } from './settings.ts';

/** A TCP relay between two regions that can be cut. */
class LinkServer {
  readonly #bytes = new Map<string, number>();
  readonly #sockets = new Set<Socket>();
  readonly #servers: Server[] = [];
  readonly #outbound: LinkPacer;
  readonly #inbound: LinkPacer;
  #cut = false;

  constructor(settings: LinkSettings) {
    this.#outbound = new LinkPacer(settings.delayMs, settings.bytesPerSecond);
    this.#inbound = new LinkPacer(settings.delayMs, settings.bytesPerSecond);
  }

  async listen(relay: RelaySettings): Promise<void> {
    this.#bytes.set(relay.listen, 0);
    const server = createServer((socket) => {
      this.#accept(relay, socket);
    });
    this.#servers.push(server);
    const { host, port } = splitAddress(relay.listen);
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(port, host, resolve);
    });
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = `${request.method ?? ''} ${request.url ?? ''}`;
    switch (call) {
      case 'POST /control': {
        const { cut } = await readJson(request, linkControlSchema);
        this.#setCut(cut);
        sendJson(response, 200, {});
        return;
      }
      case 'GET /audit':
        sendJson(response, 200, { bytes: Object.fromEntries(this.#bytes) });
        return;
      default:
        throw new RequestError(404, `the link has no call ${call}`);
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

  #accept(relay: RelaySettings, near: Socket): void {
    if (this.#cut) {
      near.destroy();
      return;
    }
    const far = connect(splitAddress(relay.target));
    const [there, back] = relay.reversed ? [this.#inbound, this.#outbound] : [this.#outbound, this.#inbound];
    this.#forward(relay.listen, near, far, there);
    this.#forward(relay.listen, far, near, back);
  }

  /** Delivers each chunk at its arrival time; chunks of one direction arrive in the order they were sent. */
  #forward(listen: string, source: Socket, sink: Socket, pacer: LinkPacer): void {
    const queue = new DeliveryQueue();
    this.#sockets.add(source);
    source.setNoDelay(true);
    source.on('data', (data: Buffer) => {
      this.#bytes.set(listen, (this.#bytes.get(listen) ?? 0) + data.length);
      queue.add(pacer.arrivalMs(data.length, Date.now()), () => sink.write(data));
    });
    source.on('end', () => {
      queue.add(pacer.arrivalMs(0, Date.now()), () => sink.end());
    });
    source.on('error', () => {
      sink.destroy();
    });
    source.on('close', () => {
      this.#sockets.delete(source);
      queue.add(pacer.arrivalMs(0, Date.now()), () => {
        sink.destroySoon();
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
