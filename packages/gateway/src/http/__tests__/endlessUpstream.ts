import type { AddressInfo, Server, Socket } from 'node:net';
import { createServer } from 'node:net';

/** Bytes after which an upstream stops sending, so that a test ends even if nobody closes the connection. */
const MAX_SENT_BYTES = 24 * 1_048_576;
/** Bytes per write. */
const WRITE_BYTES = 65_536;

/** How an upstream responds to one request: bytes that are sent once, and bytes that are repeated without end. */
export interface EndlessResponse {
  readonly prefix: string;
  /** Undefined for a response that ends with its prefix; empty for one that stalls after it. */
  readonly repeated: string | undefined;
}

/** Upstream on a loopback address that sends bytes without end until its client closes the connection. */
export class EndlessUpstream {
  requestCount = 0;
  /** True if an endless response was not stopped by its client. */
  exhausted = false;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly unfinishedSockets = new Set<Socket>();
  private closedWaiters: (() => void)[] = [];

  /** @param responses one for each request; the last one is used for all further requests */
  constructor(private readonly responses: readonly EndlessResponse[]) {
    this.server = createServer((socket) => {
      this.sockets.add(socket);
      socket.on('data', () => {
        this.respond(socket);
      });
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.sockets.delete(socket);
        this.unfinishedSockets.delete(socket);
        for (const resolve of this.closedWaiters.splice(0)) {
          resolve();
        }
      });
    });
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  /** Resolves once all connections with a response that does not end are closed. */
  async waitUntilClosed(): Promise<void> {
    while (this.unfinishedSockets.size > 0) {
      await new Promise<void>((resolve) => this.closedWaiters.push(resolve));
    }
  }

  close(): void {
    for (const socket of this.sockets) {
      socket.destroy();
    }
    this.server.close();
  }

  private respond(socket: Socket): void {
    const response = this.responses[Math.min(this.requestCount, this.responses.length - 1)];
    this.requestCount += 1;
    if (response === undefined) {
      return;
    }
    socket.write(response.prefix, 'latin1');
    if (response.repeated !== undefined) {
      this.unfinishedSockets.add(socket);
    }
    if (response.repeated !== undefined && response.repeated !== '') {
      const repeats = Math.ceil(WRITE_BYTES / response.repeated.length);
      this.sendRepeatedly(socket, Buffer.from(response.repeated.repeat(repeats), 'latin1'));
    }
  }

  private sendRepeatedly(socket: Socket, data: Buffer): void {
    let sentBytes = 0;
    const send = (): void => {
      while (!socket.destroyed) {
        if (sentBytes >= MAX_SENT_BYTES) {
          this.exhausted = true;
          socket.end();
          return;
        }
        sentBytes += data.length;
        if (!socket.write(data)) {
          socket.once('drain', send);
          return;
        }
      }
    };
    send();
  }
}
