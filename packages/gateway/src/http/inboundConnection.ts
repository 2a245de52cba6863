import type { IncomingMessage, ServerResponse } from 'node:http';
import type { GatewayContext } from '../context.ts';
import type { MemoryHolder } from '../memory/memoryAccount.ts';
import { MemoryClass, MemoryUse } from '../memory/memoryAccount.ts';
import { requestSweep } from '../memory/sweepController.ts';
import type { BodyHandlers, InboundConnectionOptions, OpenRequest } from './inboundTypes.ts';
import { IncomingBody, ReserveResult } from './incomingBody.ts';
import type { RefusalStatus } from './refusals.ts';
import { ConnectionEnd, refusalHeaders, reportConnectionEnd, sendRefusal } from './refusals.ts';
import { sliceLength } from './sliceLength.ts';
import { UnreadResponse } from './unreadResponse.ts';

/** Charge for an open connection: its socket, parser and buffers. */
export const CONNECTION_BYTES = 4_096;
/** Charge for a request besides its body: the objects of Node, the task, the upstream call and a small response. */
const REQUEST_BYTES = 16_384;
/** Most requests that one slice of bytes can complete: one, and one whose blank line began in the slice before. */
const REQUESTS_PER_SLICE = 2;
/** Bytes of an incomplete head that the charge for its connection covers. */
const FREE_HEAD_BYTES = 4_096;
/** Bytes of responses that wait in the process from which on no further request is read. */
const MAX_WAITING_RESPONSE_BYTES = 8_192;
/** Fewer bytes between two sweeps are no progress, so that a caller cannot hold a body by single bytes. */
const MIN_PROGRESS_BYTES = 256;
/** Time for which a body may wait for memory before it is refused. */
const MAX_MEMORY_WAIT_MS = 5_000;
/** Time for which a connection whose last response was sent is kept open for its caller to read it. */
const LINGER_MS = 2_000;

/**
 * One connection of a caller or peer. Hands its bytes to the HTTP parser in slices, each only once the memory for it is
 * allocated and few enough requests are open; otherwise the socket is paused.
 */
export class InboundConnection implements MemoryHolder {
  /** Requests whose head was read. */
  requestCount = 0;
  /** True once a response has announced the close: requests that are read later get no response and are not executed. */
  closing = false;
  idleMs = 0;
  private readonly open = new Map<ServerResponse, OpenRequest>();
  /** Bytes that were received and that the parser did not get yet. */
  private pending: Buffer | undefined;
  private pendingCharge = 0;
  /** The newest request whose body is read. */
  private body: { readonly reader: IncomingBody; readonly response: ServerResponse } | undefined;
  /** Bytes of the head that is being read. */
  private headBytes = 0;
  private headCharge = 0;
  /** Requests that are paid for and not read yet. */
  private prepaidRequests = 0;
  private readonly unread: UnreadResponse;
  /** True while this class, and not Node, keeps the socket paused. */
  private held = false;
  private pumping = false;
  /** True once further bytes are read and dropped. */
  private discarding = false;
  private isClosed = false;
  private parsedBytes = 0;
  private sweptParsedBytes = 0;
  private waitedMs = 0;
  private lingerMs = 0;

  constructor(private readonly options: InboundConnectionOptions) {
    const { socket, context } = options;
    this.unread = new UnreadResponse(context.board.memory, socket);
    socket.on('data', (chunk: Buffer) => {
      if (!this.discarding) {
        this.pending = this.pending === undefined ? chunk : Buffer.concat([this.pending, chunk]);
        this.pump();
      }
    });
    socket.on('resume', () => {
      if (this.held) {
        // Node resumes the socket at the end of each message.
        socket.pause();
      } else {
        this.pump();
      }
    });
    socket.once('close', () => {
      this.close();
    });
  }

  /** True if no request of it is executed, and if it has one, its caller has not sent it completely. */
  get isReclaimable(): boolean {
    return this.open.size === (this.openBody === undefined ? 0 : 1);
  }

  get reclaimableBytes(): number {
    const readingBytes = this.pendingCharge + this.headCharge + (this.openBody?.reader.heldBytes ?? 0);
    return readingBytes + this.unread.reclaimableBytes;
  }

  /** Registers a request that the parser has read; its response counts as open until it has left the process. */
  accept(response: ServerResponse): void {
    if (this.isClosed) {
      return;
    }
    this.requestCount += 1;
    this.idleMs = 0;
    this.headBytes = 0;
    this.releaseHead();
    if (this.open.size === 0) {
      this.options.onIdle(false);
    }
    const isPrepaid = this.prepaidRequests > 0;
    this.prepaidRequests -= isPrepaid ? 1 : 0;
    this.open.set(response, { chargedBytes: isPrepaid ? REQUEST_BYTES : 0, reader: undefined });
    response.once('close', () => {
      this.closeResponse(response);
    });
  }

  /** Reads the body of a request that was accepted. */
  readBody(
    message: IncomingMessage,
    response: ServerResponse,
    { maxBytes, onComplete, onExceeded }: BodyHandlers,
  ): void {
    const request = this.open.get(response);
    if (request === undefined) {
      return;
    }
    const reader = new IncomingBody({
      memory: this.memory,
      message,
      maxBytes,
      onComplete: (body, chargedBytes) => {
        request.chargedBytes += chargedBytes;
        onComplete(body);
      },
      onExceeded,
    });
    request.reader = reader;
    this.body = { reader, response };
  }

  /** Must be called when a response could not be written completely to the socket. */
  watchResponse(): void {
    if (!this.isClosed && this.unread.isWaiting) {
      this.unread.charge();
      this.watch();
    }
  }

  /** Reads and drops everything that arrives from now on. */
  discardInput(): void {
    this.discarding = true;
    this.dropPending();
    if (this.held) {
      this.held = false;
      this.options.socket.resume();
    }
  }

  sweep(elapsedMs: number): boolean {
    if (this.isClosed) {
      return false;
    }
    this.sweepReading(elapsedMs);
    this.sweepUnread(elapsedMs);
    this.sweepLingering(elapsedMs);
    return this.isReading || this.discarding || this.unread.isWaiting;
  }

  reclaim(): void {
    if (this.unread.reclaimableBytes > 0) {
      this.destroy(ConnectionEnd.Memory);
    } else {
      this.refuse(503, ConnectionEnd.Memory);
    }
  }

  /**
   * Ends the reading of this connection: an incomplete request is answered, further ones are dropped. Requests that were
   * read completely still get their responses. The request is never executed, so that the statuses 408 and 503 are true.
   */
  refuse(status: RefusalStatus, reason: ConnectionEnd): void {
    const { socket } = this.options;
    const { body } = this;
    this.report(reason, status);
    this.closing = true;
    this.discardInput();
    this.headBytes = 0;
    this.releaseHead();
    if (body?.reader.isOpen === true) {
      body.reader.close();
      if (!body.response.headersSent) {
        body.response.writeHead(status, refusalHeaders(status));
        body.response.end();
      }
    } else if (this.open.size === 0 && socket.writable) {
      sendRefusal(socket, status);
    }
    this.watch();
  }

  /** Closes the connection at once. */
  destroy(reason: ConnectionEnd): void {
    this.report(reason, undefined);
    this.options.socket.destroy();
    this.close();
  }

  private get memory(): GatewayContext['board']['memory'] {
    return this.options.context.board.memory;
  }

  private get openBody(): InboundConnection['body'] {
    return this.body?.reader.isOpen === true ? this.body : undefined;
  }

  private get arrivingBody(): IncomingBody | undefined {
    return this.body?.reader.isArriving === true ? this.body.reader : undefined;
  }

  /** Hands bytes that wait to the parser as far as memory and open requests allow. */
  private pump(): void {
    if (this.pumping) {
      return;
    }
    this.pumping = true;
    const { socket } = this.options;
    // Node pauses the socket while it cannot take the bytes of a body.
    while (this.pending !== undefined && !this.discarding && !socket.isPaused()) {
      const length = sliceLength(this.pending, this.arrivingBody);
      if (socket.destroyed || !this.admit(length)) {
        break;
      }
      this.parse(length);
      if (this.arrivingBody?.isFinelyChunked === true) {
        this.yieldTurn();
      }
    }
    this.pumping = false;
    this.settle();
  }

  /** Allocates what the next slice needs. Holds the socket, or refuses the request, if that is not possible. */
  private admit(length: number): boolean {
    const { arrivingBody } = this;
    if (arrivingBody !== undefined) {
      const result = arrivingBody.reserve(length, () => {
        this.goOn();
      });
      if (result === ReserveResult.Refused) {
        this.refuse(503, ConnectionEnd.Memory);
      } else if (result === ReserveResult.Waiting) {
        this.hold();
      }
      if (result !== ReserveResult.Reserved || arrivingBody.remainingBytes !== undefined) {
        return result === ReserveResult.Reserved;
      }
      // A request can begin in the last slice of a chunked body.
      return this.payForRequests();
    }
    const { maxPipelinedRequests } = this.options.context.options.memory;
    if (this.open.size >= maxPipelinedRequests || this.hasWaitingResponses()) {
      if (this.closing) {
        this.discardInput();
      } else {
        this.hold();
      }
      return false;
    }
    return this.payForRequests();
  }

  private payForRequests(): boolean {
    if (!this.memory.allocateOrReclaim(MemoryUse.Requests, REQUESTS_PER_SLICE * REQUEST_BYTES)) {
      this.refuse(503, ConnectionEnd.Memory);
      return false;
    }
    this.prepaidRequests = REQUESTS_PER_SLICE;
    return true;
  }

  /** Node stops its parser while responses wait in the process; no slice may reach it then. */
  private hasWaitingResponses(): boolean {
    const { socket } = this.options;
    if (socket.writableNeedDrain) {
      return true;
    }
    let waitingBytes = 0;
    for (const response of this.open.keys()) {
      waitingBytes += response.writableLength;
    }
    return waitingBytes >= MAX_WAITING_RESPONSE_BYTES;
  }

  private parse(length: number): void {
    const { pending } = this;
    // The allocation for the slice may have ended this very connection.
    if (pending !== undefined) {
      this.pending = length < pending.length ? pending.subarray(length) : undefined;
      // The body of a request that is ignored counts as a head here; it is not kept.
      if (this.arrivingBody === undefined && !this.closing) {
        this.headBytes += length;
      }
      this.parsedBytes += length;
      this.options.parse(pending.subarray(0, length));
      this.body?.reader.enforceLimit();
    }
    const unusedRequests = this.prepaidRequests;
    this.prepaidRequests = 0;
    this.memory.release(MemoryUse.Requests, unusedRequests * REQUEST_BYTES);
  }

  /** Charges for what is left after the parser took what it could, and watches an incomplete request. */
  private settle(): void {
    if (this.isClosed) {
      return;
    }
    const pendingBytes = this.pending?.length ?? 0;
    const addedBytes = pendingBytes - this.pendingCharge;
    if (addedBytes < 0) {
      this.pendingCharge = pendingBytes;
      this.memory.release(MemoryUse.Reading, -addedBytes);
    } else if (addedBytes > 0 && this.allocateReceived(addedBytes)) {
      this.pendingCharge = pendingBytes;
    } else if (addedBytes > 0) {
      this.refuse(503, ConnectionEnd.Memory);
      return;
    }
    const headBytes = Math.max(0, this.headBytes - FREE_HEAD_BYTES) - this.headCharge;
    if (headBytes > 0) {
      if (!this.memory.allocateOrReclaim(MemoryUse.Reading, headBytes)) {
        this.refuse(503, ConnectionEnd.Memory);
        return;
      }
      this.headCharge += headBytes;
    }
    if (this.isReading) {
      this.watch();
    }
  }

  private allocateReceived(bytes: number): boolean {
    return this.body?.reader.isLarge === true
      ? this.memory.tryAllocate(MemoryUse.Reading, bytes, MemoryClass.Received)
      : this.memory.allocateOrReclaim(MemoryUse.Reading, bytes);
  }

  private hold(): void {
    this.held = true;
    this.options.socket.pause();
  }

  /** Lets other connections be read first: a read of 64 KiB in chunks of one byte takes tens of milliseconds. */
  private yieldTurn(): void {
    this.hold();
    setImmediate(() => {
      this.goOn();
    });
  }

  /** Goes on with reading after the memory was allocated or a response has ended. */
  private goOn(): void {
    if (this.held && !this.isClosed) {
      this.held = false;
      this.waitedMs = 0;
      this.options.socket.resume();
      this.pump();
    }
  }

  private closeResponse(response: ServerResponse): void {
    const request = this.open.get(response);
    if (request === undefined) {
      return;
    }
    this.open.delete(response);
    request.reader?.close();
    this.memory.release(MemoryUse.Requests, request.chargedBytes);
    if (this.isClosed) {
      return;
    }
    if (this.open.size === 0) {
      this.options.onIdle(true);
    }
    if (!this.isWaitingForMemory) {
      this.goOn();
    }
  }

  private get isWaitingForMemory(): boolean {
    return this.body?.reader.isWaiting === true;
  }

  private get isReading(): boolean {
    return this.pending !== undefined || this.arrivingBody !== undefined || this.headBytes > 0;
  }

  private watch(): void {
    if (!this.isClosed) {
      this.memory.addHolder(this);
      requestSweep(this.options.context);
    }
  }

  private sweepReading(elapsedMs: number): void {
    const { bodyStallMs } = this.options.context.options.memory;
    if (this.parsedBytes - this.sweptParsedBytes >= MIN_PROGRESS_BYTES) {
      this.sweptParsedBytes = this.parsedBytes;
      this.idleMs = 0;
      return;
    }
    if (this.isWaitingForMemory) {
      this.waitedMs += elapsedMs;
      if (this.waitedMs >= MAX_MEMORY_WAIT_MS) {
        this.refuse(503, ConnectionEnd.Memory);
      }
    } else if (!this.held && this.isReading) {
      this.idleMs += elapsedMs;
      if (this.idleMs >= bodyStallMs && this.openBody !== undefined) {
        this.refuse(408, ConnectionEnd.BodyStalled);
      }
    }
  }

  private sweepUnread(elapsedMs: number): void {
    this.unread.sweep(elapsedMs);
    if (this.unread.unreadMs >= this.options.context.options.memory.responseStallMs) {
      this.destroy(ConnectionEnd.ResponseUnread);
    }
  }

  private sweepLingering(elapsedMs: number): void {
    this.lingerMs += this.discarding && !this.unread.isWaiting && this.open.size === 0 ? elapsedMs : 0;
    if (this.lingerMs >= LINGER_MS) {
      this.destroy(ConnectionEnd.Lingering);
    }
  }

  private report(reason: ConnectionEnd, status: RefusalStatus | undefined): void {
    const { context, serverName, socket } = this.options;
    reportConnectionEnd(context, {
      serverName,
      reason,
      status,
      caller: socket.remoteAddress,
      requests: this.requestCount,
      openResponses: this.open.size,
      heldBytes: this.reclaimableBytes,
      idleMs: Math.round(Math.max(this.idleMs, this.unread.unreadMs)),
    });
  }

  private dropPending(): void {
    this.pending = undefined;
    const bytes = this.pendingCharge;
    this.pendingCharge = 0;
    this.memory.release(MemoryUse.Reading, bytes);
  }

  private releaseHead(): void {
    const bytes = this.headCharge;
    this.headCharge = 0;
    this.memory.release(MemoryUse.Reading, bytes);
  }

  /** Releases everything. Responses of requests that are being executed are released as well; their caller is gone. */
  private close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.discarding = true;
    this.memory.removeHolder(this);
    this.dropPending();
    this.releaseHead();
    this.unread.release();
    for (const response of [...this.open.keys()]) {
      this.closeResponse(response);
    }
    this.memory.release(MemoryUse.Connections, CONNECTION_BYTES);
  }
}
