import type { RequestListener } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import { createServer as createTcpServer } from 'node:net';
import type { TestContext } from 'node:test';
import type { CoreEvent } from '@pimentostall/core';
import { EventKind } from '@pimentostall/core';
import type { EventSink } from '../routerLoop.ts';

type EventOf<K extends EventKind> = Extract<CoreEvent, { readonly kind: K }>;

/** Replaces the loop: records events and lets tests wait for one of a kind. */
export class RecordingSink implements EventSink {
  readonly events: CoreEvent[] = [];
  onEvent: (event: CoreEvent) => void = () => undefined;
  private waiters: (() => void)[] = [];

  submit(event: CoreEvent): void {
    this.events.push(event);
    this.onEvent(event);
    for (const wake of this.waiters.splice(0)) {
      wake();
    }
  }

  waitForStep(): Promise<void> {
    return Promise.resolve();
  }

  async next<K extends EventKind>(kind: K): Promise<EventOf<K>> {
    for (;;) {
      const found = this.events.find((event): event is EventOf<K> => event.kind === kind);
      if (found !== undefined) {
        return found;
      }
      const failed = this.events.find((event) => event.kind === EventKind.UpstreamFailed);
      if (failed !== undefined) {
        throw new Error(`${kind} cannot follow the failure: ${failed.detail}`);
      }
      await new Promise<void>((resolve) => this.waiters.push(resolve));
    }
  }
}

/** Starts a fake HTTP server on a free loopback port; it is closed at the end of the test. */
export async function startFakeServer(context: TestContext, listener: RequestListener): Promise<string> {
  const server = createServer(listener);
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    server.closeAllConnections();
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** Starts a fake TCP server that passes each connection to the test. */
export async function startFakeTcpServer(
  context: TestContext,
  onConnection: (socket: Socket) => void,
): Promise<string> {
  const sockets = new Set<Socket>();
  const server = createTcpServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => socket.destroy());
    onConnection(socket);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  context.after(() => {
    for (const socket of sockets) {
      socket.destroy();
    }
    server.close();
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

/** A loopback address on which nothing listens. */
export async function unusedAddress(): Promise<string> {
  const server = createTcpServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) =>
    server.close(() => {
      resolve();
    }),
  );
  return `127.0.0.1:${port}`;
}
