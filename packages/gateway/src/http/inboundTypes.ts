import type { Socket } from 'node:net';
import type { GatewayContext } from '../context.ts';
import type { IncomingBody } from './incomingBody.ts';

/** What becomes of the body of a request. */
export interface BodyHandlers {
  readonly maxBytes: number;
  /** Called with the body once it is complete, unless the connection was closed before. */
  readonly onComplete: (body: Buffer) => void;
  /** Called once, when more than `maxBytes` have arrived; the rest is discarded. */
  readonly onExceeded: () => void;
}

export interface InboundConnectionOptions {
  readonly context: GatewayContext;
  readonly socket: Socket;
  /** Name of the server in metrics and log lines. */
  readonly serverName: string;
  /** Hands bytes to the HTTP parser. */
  readonly parse: (bytes: Buffer) => void;
  /** Called when the connection has no open response any more, and when it is read again. */
  readonly onIdle: (isIdle: boolean) => void;
}

/** A request whose response has not left the process. */
export interface OpenRequest {
  /** Bytes that are released at its end. */
  chargedBytes: number;
  reader: IncomingBody | undefined;
}
