import type { IncomingMessage } from 'node:http';
import type { MemoryAccount } from '../memory/memoryAccount.ts';
import { MemoryClass, MemoryUse } from '../memory/memoryAccount.ts';
import { BodyBuffer, collectingBytes, isLargeBody } from './bodyBuffer.ts';

/** What happened to an attempt to allocate memory for the next bytes of a body. */
export enum ReserveResult {
  Reserved = 'reserved',
  /** The bytes must wait for memory. */
  Waiting = 'waiting',
  /** No memory can be had for an ordinary body. */
  Refused = 'refused',
}

/** Mean size of the chunks of a body below which it is read in small steps. */
const FINE_CHUNK_BYTES = 64;
/** Chunks after which the mean size is known. */
const MIN_COUNTED_CHUNKS = 64;

export interface IncomingBodyOptions {
  readonly memory: MemoryAccount;
  readonly message: IncomingMessage;
  readonly maxBytes: number;
  /**
   * Called with the body once it is complete.
   *
   * @param chargedBytes bytes that are allocated for it as `MemoryUse.Requests`; the callee releases them
   */
  readonly onComplete: (body: Buffer, chargedBytes: number) => void;
  /** Called once, when more than `maxBytes` have arrived; the rest is discarded. */
  readonly onExceeded: () => void;
}

/** The body of a request that is being read. Its memory is allocated before its bytes are handed to the parser. */
export class IncomingBody {
  private readonly buffer = new BodyBuffer();
  private readonly announcedBytes: number | undefined;
  private allocatedBytes = 0;
  private receivedBytes = 0;
  private chunkCount = 0;
  /** True once nothing more is collected: the body is complete, exceeds its limit or was refused. */
  private isClosed = false;
  private withdrawWaiter: (() => void) | undefined;

  constructor(private readonly options: IncomingBodyOptions) {
    const { message } = options;
    const announced = message.headers['content-length'];
    this.announcedBytes = announced === undefined ? undefined : Number(announced);
    message.on('data', (chunk: Buffer) => {
      this.receivedBytes += chunk.length;
      this.chunkCount += 1;
      this.collect(chunk);
    });
    message.on('end', () => {
      this.complete();
    });
  }

  /** True until the parser has seen the end of the body. */
  get isArriving(): boolean {
    return !this.options.message.complete;
  }

  /** True while the request can still be refused as not executed. */
  get isOpen(): boolean {
    return !this.isClosed;
  }

  /** True for a chunked body whose chunks are so small that reading them takes much more time than their bytes would. */
  get isFinelyChunked(): boolean {
    return (
      this.announcedBytes === undefined &&
      this.chunkCount >= MIN_COUNTED_CHUNKS &&
      this.receivedBytes < this.chunkCount * FINE_CHUNK_BYTES
    );
  }

  get isWaiting(): boolean {
    return this.withdrawWaiter !== undefined;
  }

  get heldBytes(): number {
    return this.allocatedBytes;
  }

  get isLarge(): boolean {
    return isLargeBody(this.receivedBytes);
  }

  /** Bytes until the end of the body; undefined if they are not known. */
  get remainingBytes(): number | undefined {
    return this.announcedBytes === undefined ? undefined : this.announcedBytes - this.arrivedBytes;
  }

  /**
   * Allocates memory for the next bytes, which the parser gets only then.
   *
   * @param onReserved called if the result is `Waiting`, once the memory is allocated
   */
  reserve(nextBytes: number, onReserved: () => void): ReserveResult {
    if (this.isClosed || this.withdrawWaiter !== undefined) {
      return this.isClosed ? ReserveResult.Reserved : ReserveResult.Waiting;
    }
    const { memory, maxBytes } = this.options;
    const sizeBytes = Math.min(this.arrivedBytes + nextBytes, maxBytes);
    const bytes = collectingBytes(sizeBytes) - this.allocatedBytes;
    if (bytes <= 0) {
      return ReserveResult.Reserved;
    }
    const use = MemoryUse.Reading;
    const isLarge = isLargeBody(sizeBytes);
    if (isLarge ? memory.tryAllocate(use, bytes, MemoryClass.Large) : memory.allocateOrReclaim(use, bytes)) {
      this.allocatedBytes += bytes;
      return ReserveResult.Reserved;
    }
    if (!isLarge) {
      return ReserveResult.Refused;
    }
    this.withdrawWaiter = memory.wait({
      use,
      bytes,
      memoryClass: MemoryClass.Large,
      onAllocated: () => {
        this.withdrawWaiter = undefined;
        this.allocatedBytes += bytes;
        onReserved();
      },
    });
    return ReserveResult.Waiting;
  }

  /**
   * Ends the collection of a body that exceeds its limit. Called after each slice, since Node passes the bytes on later and
   * a request behind the body could be read until then.
   */
  enforceLimit(): void {
    if (!this.isClosed && this.arrivedBytes > this.options.maxBytes) {
      this.close();
      this.options.onExceeded();
    }
  }

  /** Discards what has arrived and what will arrive; the request is not executed. */
  close(): void {
    if (this.isClosed) {
      return;
    }
    this.isClosed = true;
    this.buffer.clear();
    const { allocatedBytes, withdrawWaiter } = this;
    this.allocatedBytes = 0;
    this.withdrawWaiter = undefined;
    withdrawWaiter?.();
    this.options.memory.release(MemoryUse.Reading, allocatedBytes);
  }

  /** Bytes that the parser has passed on, including those that the message still buffers. */
  private get arrivedBytes(): number {
    return this.receivedBytes + this.options.message.readableLength;
  }

  private collect(chunk: Buffer): void {
    this.enforceLimit();
    if (!this.isClosed) {
      this.buffer.append(chunk);
    }
  }

  private complete(): void {
    if (this.isClosed) {
      return;
    }
    const body = this.buffer.take();
    const { memory } = this.options;
    const { allocatedBytes } = this;
    // The bytes that came in the slice with the end of the head are covered by the charge for the request.
    const chargedBytes = Math.min(body.length, allocatedBytes);
    memory.move(MemoryUse.Reading, MemoryUse.Requests, chargedBytes);
    this.allocatedBytes = 0;
    this.isClosed = true;
    memory.release(MemoryUse.Reading, allocatedBytes - chargedBytes);
    this.options.onComplete(body, chargedBytes);
  }
}
