const EMPTY = Buffer.alloc(0);

/** Collects chunks in one buffer, so that many small chunks take no more memory than their bytes. */
export class ByteCollector {
  private buffer: Buffer = EMPTY;
  private sizeBytes = 0;

  get length(): number {
    return this.sizeBytes;
  }

  /** The collected bytes; only valid until the next call. */
  get bytes(): Buffer {
    return this.buffer.subarray(0, this.sizeBytes);
  }

  append(data: Buffer): void {
    const neededBytes = this.sizeBytes + data.length;
    if (neededBytes > this.buffer.length) {
      // Doubling keeps the bytes that are copied in total proportional to the bytes that are collected.
      const grown = Buffer.allocUnsafe(Math.max(neededBytes, 2 * this.buffer.length));
      this.buffer.copy(grown, 0, 0, this.sizeBytes);
      this.buffer = grown;
    }
    data.copy(this.buffer, this.sizeBytes);
    this.sizeBytes = neededBytes;
  }

  /** Returns the collected bytes and starts again with none. */
  take(): Buffer {
    const { bytes } = this;
    this.buffer = EMPTY;
    this.sizeBytes = 0;
    return bytes;
  }
}
