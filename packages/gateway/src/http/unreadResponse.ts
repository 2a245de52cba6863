import type { Socket } from 'node:net';
import type { MemoryAccount } from '../memory/memoryAccount.ts';
import { MemoryClass, MemoryUse } from '../memory/memoryAccount.ts';
import { acceptedBytes } from './socketProgress.ts';

/** Time without progress after which an unread response may be closed for the sake of others. */
const RECLAIM_UNREAD_MS = 5_000;

/** The bytes of responses that a connection holds since its caller does not read them. */
export class UnreadResponse {
  /** Time for which the caller has taken no byte. */
  unreadMs = 0;
  private chargedBytes = 0;
  private acceptedBytes = 0;

  constructor(
    private readonly memory: MemoryAccount,
    private readonly socket: Socket,
  ) {}

  get isWaiting(): boolean {
    return this.socket.writableLength > 0;
  }

  /** Bytes that can be reclaimed; 0 while the caller may only be slow. */
  get reclaimableBytes(): number {
    return this.unreadMs >= RECLAIM_UNREAD_MS ? this.chargedBytes : 0;
  }

  /** Charges for what waits. It is bounded for each connection, since its upstream is paused, and so is not refused. */
  charge(): void {
    const addedBytes = this.socket.writableLength - this.chargedBytes;
    if (addedBytes > 0 && this.memory.tryAllocate(MemoryUse.Responses, addedBytes, MemoryClass.Ordinary)) {
      this.chargedBytes += addedBytes;
    }
  }

  sweep(elapsedMs: number): void {
    if (!this.isWaiting) {
      this.unreadMs = 0;
      this.release();
      return;
    }
    const accepted = acceptedBytes(this.socket);
    this.unreadMs = accepted > this.acceptedBytes ? 0 : this.unreadMs + elapsedMs;
    this.acceptedBytes = accepted;
  }

  release(): void {
    const bytes = this.chargedBytes;
    this.chargedBytes = 0;
    this.memory.release(MemoryUse.Responses, bytes);
  }
}
