import type { Socket } from 'node:net';
import { connect as connectSocket } from 'node:net';
import { incarnationKey } from '../placement/leavingUpstreams.ts';
import type { UpstreamWatch } from '../requests/ports.ts';
import { WatchState } from '../requests/ports.ts';
import type { UpstreamEntry } from '../types.ts';

export interface WatchConnectionOptions {
  readonly connectTimeoutMs: number;
  /** Time after which a connection is replaced: upstreams close idle ones. */
  readonly renewalIntervalMs: number;
  /** Time within which a response must end for no connection to be opened for it. */
  readonly openDelayMs: number;
}

/**
 * Time for which a close counts as just now. The connections of a process that ends are closed together, but a VM with a
 * quota of processor time may pause for up to 100 ms between the two.
 */
const JUST_CLOSED_MS = 150;

/** Life of a connection below which its close is that of an upstream with too many of them. */
const MIN_LIFE_MS = 50;

/** Time for which a connection is kept after its successor was opened, which may lead to another process. */
const OVERLAP_MS = 1_000;

/**
 * Connections without a request that show whether the process of an upstream runs, one for each upstream that is
 * watched. While such a connection is open, a server that stops listening for a shutdown does not end; one that
 * closes it with the end of a response may have been killed.
 */
export class WatchConnections {
  private readonly connections = new Map<string, SharedWatch>();

  constructor(private readonly options: WatchConnectionOptions) {}

  watch(upstream: UpstreamEntry): UpstreamWatch {
    const key = incarnationKey(upstream);
    const shared =
      this.connections.get(key) ??
      new SharedWatch(upstream.address, this.options, () => {
        this.connections.delete(key);
      });
    this.connections.set(key, shared);
    return shared.subscribe();
  }
}

class SharedWatch {
  /** Open connections with the times at which they were opened. */
  private readonly sockets = new Map<Socket, number>();
  private subscriberCount = 0;
  private closedAtMs: number | undefined;
  private timer: NodeJS.Timeout;

  constructor(
    private readonly address: string,
    private readonly options: WatchConnectionOptions,
    private readonly onUnused: () => void,
  ) {
    this.timer = setTimeout(() => {
      this.connect();
    }, options.openDelayMs);
  }

  subscribe(): UpstreamWatch {
    const readState = (): WatchState => this.state;
    let isClosed = false;
    this.subscriberCount += 1;
    return {
      get state() {
        return isClosed ? WatchState.Unavailable : readState();
      },
      close: () => {
        if (!isClosed) {
          isClosed = true;
          this.unsubscribe();
        }
      },
    };
  }

  private get state(): WatchState {
    if (this.closedAtMs !== undefined) {
      return performance.now() - this.closedAtMs < JUST_CLOSED_MS
        ? WatchState.JustClosed
        : WatchState.Unavailable;
    }
    return this.sockets.size > 0 ? WatchState.Open : WatchState.Unavailable;
  }

  private unsubscribe(): void {
    this.subscriberCount -= 1;
    if (this.subscriberCount === 0) {
      this.onUnused();
      this.destroyAll();
    }
  }

  /** Opens a connection. The one before, if any, is closed some time after that. */
  private connect(): void {
    const { connectTimeoutMs, renewalIntervalMs } = this.options;
    const { hostname, port } = new URL(`http://${this.address}`);
    const socket = connectSocket({ host: hostname, port: Number(port) });
    const connectTimer = setTimeout(() => socket.destroy(), connectTimeoutMs);
    this.timer = setTimeout(() => {
      this.connect();
    }, renewalIntervalMs);
    socket.on('connect', () => {
      clearTimeout(connectTimer);
      if (this.subscriberCount === 0 || this.closedAtMs !== undefined) {
        socket.destroy();
        return;
      }
      const predecessors = [...this.sockets.keys()];
      this.sockets.set(socket, performance.now());
      setTimeout(() => {
        predecessors.forEach((predecessor) => {
          this.release(predecessor);
        });
      }, OVERLAP_MS).unref();
    });
    // Nothing is expected; bytes are discarded, so that the end of the connection is noticed.
    socket.resume();
    // A failure is followed by `close`.
    socket.on('error', () => undefined);
    socket.on('end', () => {
      this.recordClose(socket);
    });
    socket.on('close', () => {
      clearTimeout(connectTimer);
      this.recordClose(socket);
    });
  }

  private release(socket: Socket): void {
    this.sockets.delete(socket);
    socket.destroy();
  }

  /**
   * After the upstream has closed a connection, none is opened again: it might lead to another process. A close right
   * after the open is that of an upstream with too many connections, and does not count as one with a response.
   */
  private recordClose(socket: Socket): void {
    const openedAtMs = this.sockets.get(socket);
    if (openedAtMs !== undefined) {
      const nowMs = performance.now();
      this.closedAtMs = nowMs - openedAtMs < MIN_LIFE_MS ? -Infinity : nowMs;
      this.destroyAll();
    }
  }

  private destroyAll(): void {
    clearTimeout(this.timer);
    for (const socket of [...this.sockets.keys()]) {
      this.release(socket);
    }
  }
}
