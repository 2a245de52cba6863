import type { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { Writable } from 'node:stream';
import { setTimeout as sleep } from 'node:timers/promises';

const CHECK_INTERVAL_MS = 20;

/**
 * Holds back the end of a connection that its remote side has closed, until it is released. A server that ends a
 * response with its connection often closes its own direction only and goes on reading; while it does, its process
 * runs. A connection that was closed as a whole, also by the end of a process, is reset by the next bytes that it gets.
 */
export class HeldEnd {
  private readonly emitEnd: () => void;
  private isPending = false;
  private isReleased = false;

  /** @param onEnd called at the end of the connection, in place of its `end` event */
  constructor(
    private readonly socket: Socket,
    onEnd: () => void,
  ) {
    const emit = (socket.emit as EventEmitter['emit']).bind(socket);
    this.emitEnd = () => {
      emit('end');
    };
    // Node.js would otherwise close the connection for both directions.
    socket.allowHalfOpen = true;
    socket.emit = (event: string | symbol, ...args: unknown[]): boolean => {
      if (event !== 'end' || this.isReleased) {
        return emit(event, ...args);
      }
      this.isPending = true;
      onEnd();
      return true;
    };
  }

  /**
   * Sends a line break, which a server ignores before a request (RFC 9112, section 2.2).
   *
   * @returns false if the connection was reset before
   */
  sendLineBreak(): Promise<boolean> {
    return this.write('\r\n');
  }

  /** Returns true if the connection is not reset within a time after the line break. */
  async staysOpen(durationMs: number): Promise<boolean> {
    const untilMs = performance.now() + durationMs;
    // An empty write sends nothing, but fails once the connection was reset.
    while (await this.write('')) {
      const leftMs = untilMs - performance.now();
      if (leftMs <= 0) {
        return true;
      }
      await sleep(Math.min(CHECK_INTERVAL_MS, leftMs));
    }
    return false;
  }

  /** Lets the connection end. */
  release(): void {
    this.isReleased = true;
    if (this.isPending && !this.socket.destroyed) {
      this.isPending = false;
      this.emitEnd();
    }
  }

  private write(text: string): Promise<boolean> {
    return new Promise((resolve) => {
      if (this.socket.destroyed) {
        resolve(false);
        return;
      }
      // Node.js replaces the `write` method of a socket after the remote side has ended it.
      Writable.prototype.write.call(this.socket, Buffer.from(text, 'latin1'), 'latin1', (cause) => {
        resolve(!(cause instanceof Error));
      });
    });
  }
}
