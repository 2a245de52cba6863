import type { Task } from '@pimentostall/core';
import { sleepUntil } from '@pimentostall/core';
import { createBlackboard } from '../../blackboard.ts';
import type { GatewayContext } from '../../context.ts';
import { GatewayMetrics } from '../../observability/metrics.ts';
import { createOptions } from '../../options.ts';
import { TaskLoop } from '../../runtime/taskLoop.ts';
import type { RouterEntry } from '../../types.ts';
import { openAccount } from '../ledgerController.ts';
import type { LivenessRecord } from '../liveness.ts';
import { maintainLivenessRecord, readPreviousIncarnation } from '../liveness.ts';
import { followRestoration } from '../storeRestoration.ts';
import type { SimulatedFleet } from './simulatedFleet.ts';

export const ORGANISATION = 'school';
const HEARTBEAT_MS = 500;

/** One incarnation of a router. */
export class SimulatedRouter {
  alive = true;
  /** Ends the open requests, each of which then settles. */
  readonly cutRequests = new Set<() => void>();
  readonly context: GatewayContext;

  constructor(
    readonly fleet: SimulatedFleet,
    readonly routerIndex: number,
    incarnationId: string,
  ) {
    const { timeline } = fleet;
    const board = createBlackboard();
    const loop = new TaskLoop(
      {
        nowMs: () => {
          timeline.recordReading();
          return timeline.nowMs - fleet.pausedMs(routerIndex);
        },
        startTimer: (delayMs, callback) =>
          timeline.schedule(delayMs, () => {
            this.run(callback);
          }),
      },
      (task, cause) => {
        throw new Error(`task ${task} failed`, { cause });
      },
    );
    const self: RouterEntry = {
      routerId: `router-${routerIndex}`,
      incarnationId,
      callerAddress: '',
      peerAddress: '',
      region: 'r',
      availabilityZone: 'z',
      ready: true,
    };
    this.context = {
      board,
      loop,
      options: createOptions()._unsafeUnwrap(),
      self,
      ledgerStore: { commit: (_name, change) => fleet.commit(this, change) },
      peerPort: {
        borrow: (peer, request) => fleet.borrow(this, peer.routerId, request),
        returnLoan: (peer, loanReturn) => fleet.returnLoan(this, peer.routerId, loanReturn),
        cancel: (peer, { loanId }) => fleet.cancelLoan(this, peer.routerId, loanId),
      },
      suspectPort: { exchange: () => fleet.rejectUpstreamCall() },
      upstreamPort: {
        open: () => fleet.rejectUpstreamCall(),
        hasEnded: () => fleet.rejectUpstreamCall(),
        watch: () => fleet.rejectUpstreamCall(),
        removeUpstream: () => undefined,
      },
      log: () => undefined,
      metrics: new GatewayMetrics(),
      random: fleet.random,
      location: { availabilityZone: 'z', region: 'r', regionOf: () => 'r' },
      maxRouterCount: () => 3,
    };
    board.configuration = fleet.configuration();
    for (const index of fleet.routerIndexes()) {
      board.routers.set(`router-${index}`, {
        entry: { ...self, routerId: `router-${index}` },
        changedAtMs: 0,
      });
    }
  }

  /** Runs a callback in this process; delays it while the process is paused, drops it once the process is killed. */
  run(callback: () => void): void {
    if (!this.alive) {
      return;
    }
    const pausedMs = this.fleet.pauseLeftMs(this.routerIndex);
    if (pausedMs > 0) {
      this.fleet.timeline.schedule(pausedMs, () => {
        this.run(callback);
      });
      return;
    }
    callback();
  }

  start(): void {
    const { context, fleet } = this;
    const liveness = {
      read: () => fleet.readLiveness(this),
      write: (record: LivenessRecord) => fleet.writeLiveness(this, record),
      storeTimeMs: () => fleet.storeTimeSeen(this),
    };
    context.loop.spawn(
      'start',
      (function* () {
        yield* readPreviousIncarnation(context, liveness);
        context.loop.spawn('liveness', maintainLivenessRecord(context, liveness));
        openAccount(context, ORGANISATION);
      })(),
    );
    if (fleet.hasEras) {
      context.loop.spawn('restoration', followRestoration(context));
      context.loop.spawn('heartbeat', this.exchangeRows());
    }
  }

  private *exchangeRows(): Task<void> {
    const { board, loop } = this.context;
    while (!board.stopped) {
      const rows = yield* loop.settled(this.fleet.exchangeRows(this));
      for (const [index, entry] of rows ?? []) {
        board.routers.set(`router-${index}`, { entry, changedAtMs: loop.nowMs() });
      }
      yield* sleepUntil(loop.nowMs() + HEARTBEAT_MS);
    }
  }
}
