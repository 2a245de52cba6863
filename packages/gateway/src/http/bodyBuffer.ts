import { ORDINARY_BODY_BYTES } from '../memory/memoryAccount.ts';

/** Size of the blocks in which a body is collected. An ordinary body takes one. */
export const BLOCK_BYTES = 32_768;
/** Blocks that are kept for the next bodies; the others are left to the garbage collector. */
const MAX_FREE_BLOCKS = 1_024;

/** Free blocks of all bodies, so that bodies that are refused leave nothing for the garbage collector. */
const freeBlocks: Buffer[] = [];

/** Collects a body in blocks, so that it takes the same memory whatever the size of its chunks. */
export class BodyBuffer {
  private readonly blocks: Buffer[] = [];
  /** The only chunk so far, which is not copied; most bodies arrive in one. */
  private onlyChunk: Buffer | undefined;
  private sizeBytes = 0;

  get length(): number {
    return this.sizeBytes;
  }

  append(chunk: Buffer): void {
    if (this.sizeBytes === 0 && chunk.length > 0) {
      this.onlyChunk = chunk;
      this.sizeBytes = chunk.length;
      return;
    }
    const first = this.onlyChunk;
    if (first !== undefined) {
      this.onlyChunk = undefined;
      this.sizeBytes = 0;
      this.copyIn(first);
    }
    this.copyIn(chunk);
  }

  /** Returns the whole body and starts again with none. */
  take(): Buffer {
    const body = this.onlyChunk ?? Buffer.concat(this.blocks, this.sizeBytes);
    this.clear();
    return body;
  }

  /** Discards what was collected. */
  clear(): void {
    const kept = this.blocks.splice(0).slice(0, MAX_FREE_BLOCKS - freeBlocks.length);
    freeBlocks.push(...kept);
    this.onlyChunk = undefined;
    this.sizeBytes = 0;
  }

  private copyIn(chunk: Buffer): void {
    let copied = 0;
    while (copied < chunk.length) {
      const used = this.sizeBytes % BLOCK_BYTES;
      if (used === 0) {
        this.blocks.push(freeBlocks.pop() ?? Buffer.allocUnsafeSlow(BLOCK_BYTES));
      }
      const block = this.blocks.at(-1);
      const count = block === undefined ? 0 : chunk.copy(block, used, copied);
      copied += count;
      this.sizeBytes += count;
    }
  }
}

/**
 * Bytes to allocate for a body while it is collected: its blocks, and the buffer into which they are copied at its end.
 *
 * @param sizeBytes bytes of the body that have arrived or are about to be read
 */
export function collectingBytes(sizeBytes: number): number {
  return sizeBytes === 0 ? 0 : 2 * BLOCK_BYTES * Math.ceil(sizeBytes / BLOCK_BYTES);
}

export function isLargeBody(sizeBytes: number): boolean {
  return sizeBytes > ORDINARY_BODY_BYTES;
}
