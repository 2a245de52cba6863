import type { Server } from 'node:http';
import type { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import type { GatewayContext } from '../context.ts';
import { MemoryUse } from '../memory/memoryAccount.ts';
import { CONNECTION_BYTES, InboundConnection } from './inboundConnection.ts';
import { ConnectionEnd, reportConnectionEnd } from './refusals.ts';

export interface InboundServerOptions {
  /** Name of the server in metrics and log lines. */
  readonly name: string;
  readonly maxConnections: number;
}

/** Part of the memory account that connections without a request may take. */
const CONNECTIONS_FRACTION = 0.25;
/** Time within which the head and the body of a request to a server without large bodies must arrive. */
const SMALL_REQUEST_TIMEOUT_MS = 5_000;

/**
 * Bounds what the connections to a server can make the process hold. Handles more connections than the process has
 * descriptors for: those that have been idle for the longest time are closed.
 */
export class InboundServer {
  private readonly connections = new Map<Duplex, InboundConnection>();
  /** Connections without an open response; the one that has been idle for the longest time is the first. */
  private readonly idle = new Set<InboundConnection>();
  private readonly maxConnections: number;

  constructor(
    private readonly context: GatewayContext,
    server: Server,
    private readonly options: InboundServerOptions,
  ) {
    const memoryLimit = (context.board.memory.bound * CONNECTIONS_FRACTION) / CONNECTION_BYTES;
    this.maxConnections = Math.min(options.maxConnections, Math.floor(memoryLimit));
    server.on('connection', (socket) => {
      this.addConnection(socket);
    });
    server.prependListener('request', (message, response) => {
      this.connections.get(message.socket)?.accept(response);
    });
  }

  /** Returns the connection of a socket; undefined once it is closed. */
  connectionOf(socket: Duplex): InboundConnection | undefined {
    return this.connections.get(socket);
  }

  private addConnection(socket: Socket): void {
    // Node's HTTP server has just registered the listener that hands the bytes of the connection to its parser.
    const [parseListener] = socket.listeners('data') as ((bytes: Buffer) => void)[];
    if (parseListener === undefined) {
      throw new Error('the HTTP server has no listener for the bytes of a connection');
    }
    socket.off('data', parseListener);
    if (!this.makeRoom()) {
      reportConnectionEnd(this.context, {
        serverName: this.options.name,
        reason: ConnectionEnd.Descriptors,
        status: undefined,
        caller: socket.remoteAddress,
        requests: 0,
        openResponses: 0,
        heldBytes: 0,
        idleMs: 0,
      });
      socket.destroy();
      return;
    }
    const connection: InboundConnection = new InboundConnection({
      context: this.context,
      socket,
      serverName: this.options.name,
      parse: parseListener,
      onIdle: (isIdle) => {
        if (isIdle) {
          this.idle.add(connection);
        } else {
          this.idle.delete(connection);
        }
      },
    });
    this.connections.set(socket, connection);
    this.idle.add(connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.idle.delete(connection);
    });
  }

  /** Allocates memory and a descriptor for one more connection, at the expense of idle ones. */
  private makeRoom(): boolean {
    const { memory } = this.context.board;
    if (this.connections.size >= this.maxConnections && !this.closeLongestIdle()) {
      return false;
    }
    while (!memory.allocateOrReclaim(MemoryUse.Connections, CONNECTION_BYTES)) {
      if (!this.closeLongestIdle()) {
        return false;
      }
    }
    return true;
  }

  /** Closes the connection without an open response, or else without progress, for the longest time. */
  private closeLongestIdle(): boolean {
    const [connection = this.findStalled()] = this.idle;
    if (connection === undefined) {
      return false;
    }
    this.idle.delete(connection);
    connection.destroy(ConnectionEnd.Descriptors);
    return true;
  }

  private findStalled(): InboundConnection | undefined {
    let stalled: InboundConnection | undefined;
    for (const connection of this.connections.values()) {
      if (connection.isReclaimable && connection.idleMs > (stalled?.idleMs ?? 0)) {
        stalled = connection;
      }
    }
    return stalled;
  }
}

/** Bounds a server whose requests have no body, or a small one. */
export function boundSmallServer(context: GatewayContext, server: Server, name: string): InboundServer {
  const { maxOtherConnections } = context.options.memory;
  server.headersTimeout = SMALL_REQUEST_TIMEOUT_MS;
  server.requestTimeout = SMALL_REQUEST_TIMEOUT_MS;
  return new InboundServer(context, server, { name, maxConnections: maxOtherConnections });
}
