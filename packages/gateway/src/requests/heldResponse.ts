import type { GatewayContext } from '../context.ts';
import { MemoryClass, MemoryUse } from '../memory/memoryAccount.ts';
import { requestSweep } from '../memory/sweepController.ts';
import type { UpstreamCall } from './ports.ts';

/** Bytes of a response that the charge for its request covers. */
const FREE_BYTES = 16_384;
/** A buffer that grows has up to twice the bytes that it holds. */
const BUFFER_FACTOR = 2;

/**
 * The memory of a response that is held until it is complete. Handles many large responses at once: an upstream whose
 * response has no memory is not read until there is some, or until the deadline of the request.
 */
export class HeldResponse {
  private chargedBytes = 0;
  private withdraw: (() => void) | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly call: Pick<UpstreamCall, 'pause' | 'resume'>,
  ) {}

  /** Must be called when the number of bytes that are held has changed. */
  update(heldBytes: number): void {
    const { memory } = this.context.board;
    const addedBytes = BUFFER_FACTOR * Math.max(0, heldBytes - FREE_BYTES) - this.chargedBytes;
    if (addedBytes <= 0) {
      this.chargedBytes += addedBytes;
      memory.release(MemoryUse.Responses, -addedBytes);
    } else if (memory.tryAllocate(MemoryUse.Responses, addedBytes, MemoryClass.Ordinary)) {
      this.chargedBytes += addedBytes;
    } else {
      this.waitFor(addedBytes);
    }
  }

  /** Returns the memory at the end of the attempt. */
  release(): void {
    this.withdraw?.();
    this.withdraw = undefined;
    this.update(0);
  }

  private waitFor(bytes: number): void {
    this.call.pause();
    if (this.withdraw !== undefined) {
      return;
    }
    this.withdraw = this.context.board.memory.wait({
      use: MemoryUse.Responses,
      bytes,
      memoryClass: MemoryClass.Ordinary,
      onAllocated: () => {
        this.withdraw = undefined;
        this.chargedBytes += bytes;
        this.call.resume();
      },
    });
    requestSweep(this.context);
  }
}
