import type { RandomSource } from '@pimentostall/core';
import type {
  RequestEvent,
  UpstreamCall,
  UpstreamRequest,
  UpstreamResponseHead,
} from '../../requests/ports.ts';
import { RequestEventKind, RetryAfterKind, UpstreamFailure } from '../../requests/ports.ts';
import type { UpstreamEntry } from '../../types.ts';
import { UpstreamState } from '../../types.ts';
import type { Timeline } from '../../money/__tests__/timeline.ts';

const NETWORK_MS = 2;
const PREFILL_MS = 200;
const EVENT_INTERVAL_MS = 15;
const EVENT_COUNT = 20;
const RESTART_MS = 3_300;
/** Time until all routers see a change in the register. */
const REGISTER_MS = 300;

export const SERVICE = 'engines';

interface RunningCall {
  readonly request: UpstreamRequest;
  readonly attempt: number;
  readonly report: (event: RequestEvent) => void;
  readonly routerId: string;
  ended: boolean;
}

interface Engine {
  readonly entry: UpstreamEntry;
  readonly calls: Set<RunningCall>;
  alive: boolean;
  /** Says in all of its responses that it is leaving. */
  leaving: boolean;
  /** Until this time it turns requests away and says how long. */
  shedsUntilMs: number;
}

/** An arrival of a request at an engine. */
export interface Arrival {
  readonly atMs: number;
  readonly upstreamId: string;
  readonly routerId: string;
  readonly requestId: string;
  readonly isTainted: boolean;
}

/** A response with which an engine told a router that it wants no requests until a time. */
export interface AskedForTime {
  readonly routerId: string;
  readonly upstreamId: string;
  readonly atMs: number;
  readonly untilMs: number;
}

/** Model engines that end when they begin to answer a request with one of the crashing parts, and come back later. */
export class SimulatedEngines {
  readonly crashingParts = new Set<string>();
  readonly arrivals: Arrival[] = [];
  readonly askedForTime: AskedForTime[] = [];
  /** Times of the first response in which an engine told a router that it is leaving, by `ROUTER ENGINE`. */
  readonly toldLeavingAtMs = new Map<string, number>();
  /** Times of the crashes that a request caused. */
  readonly crashTimesMs: number[] = [];
  private readonly engines = new Map<string, Engine>();
  private startedCount = 0;

  /**
   * @param onRegister called with the entries of all registered engines after a change
   */
  constructor(
    private readonly timeline: Timeline,
    private readonly random: RandomSource,
    private readonly onRegister: (entries: readonly UpstreamEntry[]) => void,
  ) {}

  start(count: number): void {
    for (let index = 0; index < count; index += 1) {
      this.startEngine(`10.0.0.${index}:80`);
    }
    this.register();
  }

  isTainted(request: UpstreamRequest): boolean {
    return request.head.promptParts.slice(0, -1).some(({ partId }) => this.crashingParts.has(partId));
  }

  isListening(upstreamId: string): boolean {
    return this.engines.get(upstreamId)?.alive === true;
  }

  open(
    upstream: UpstreamEntry,
    request: UpstreamRequest,
    attempt: number,
    report: (event: RequestEvent) => void,
    routerId: string,
  ): UpstreamCall {
    const call: RunningCall = { request, attempt, report, routerId, ended: false };
    this.timeline.schedule(NETWORK_MS, () => {
      this.receive(upstream.upstreamId, call);
    });
    return {
      cancel: () => {
        call.ended = true;
        this.engines.get(upstream.upstreamId)?.calls.delete(call);
      },
      discard: () => {
        call.ended = true;
      },
      pause: () => undefined,
      resume: () => undefined,
      staysHalfOpen: () => Promise.resolve(false),
      release: () => undefined,
    };
  }

  /** Ends engines although none of their requests is to blame. */
  crash(upstreamIds: readonly string[]): void {
    for (const upstreamId of upstreamIds) {
      const engine = this.engines.get(upstreamId);
      if (engine?.alive === true) {
        this.end(engine);
      }
    }
  }

  /** Lets engines turn requests away for a time. */
  shed(upstreamIds: readonly string[], durationMs: number): void {
    for (const upstreamId of upstreamIds) {
      const engine = this.engines.get(upstreamId);
      if (engine !== undefined) {
        engine.shedsUntilMs = this.timeline.nowMs + durationMs;
      }
    }
  }

  /** Lets engines leave without a word in the register. */
  leave(upstreamIds: readonly string[]): void {
    for (const upstreamId of upstreamIds) {
      const engine = this.engines.get(upstreamId);
      if (engine !== undefined) {
        engine.leaving = true;
      }
    }
  }

  aliveIds(): string[] {
    return [...this.engines.values()].filter(({ alive }) => alive).map(({ entry }) => entry.upstreamId);
  }

  private startEngine(address: string): void {
    this.startedCount += 1;
    const upstreamId = `engine-${this.startedCount}`;
    const entry: UpstreamEntry = {
      upstreamId,
      serviceName: SERVICE,
      address,
      availabilityZone: 'z',
      state: UpstreamState.Ready,
      slots: 16,
      warmupLeftMs: 0,
      startTimeMs: this.timeline.nowMs,
      sequence: undefined,
    };
    this.engines.set(upstreamId, {
      entry,
      calls: new Set(),
      alive: true,
      leaving: false,
      shedsUntilMs: -Infinity,
    });
  }

  private register(): void {
    this.onRegister([...this.engines.values()].filter(({ alive }) => alive).map(({ entry }) => entry));
  }

  private receive(upstreamId: string, call: RunningCall): void {
    if (call.ended) {
      return;
    }
    const engine = this.engines.get(upstreamId);
    const { request, attempt, report } = call;
    if (engine?.alive !== true) {
      report({
        kind: RequestEventKind.UpstreamFailed,
        attempt,
        failure: UpstreamFailure.ConnectionRefused,
        detail: 'refused',
      });
      return;
    }
    const isTainted = this.isTainted(request);
    const requestId = request.head.requestId ?? '';
    const { routerId } = call;
    this.arrivals.push({ atMs: this.timeline.nowMs, upstreamId, routerId, requestId, isTainted });
    report({ kind: RequestEventKind.UpstreamSent, attempt });
    if (engine.shedsUntilMs > this.timeline.nowMs) {
      this.turnAway(engine, call);
      return;
    }
    engine.calls.add(call);
    this.timeline.schedule(PREFILL_MS * (0.5 + this.random()), () => {
      if (!call.ended && engine.alive) {
        this.answer(engine, call, isTainted);
      }
    });
  }

  private answer(engine: Engine, call: RunningCall, isTainted: boolean): void {
    if (isTainted) {
      this.crashTimesMs.push(this.timeline.nowMs);
      this.end(engine);
      return;
    }
    const { attempt, routerId } = call;
    if (engine.leaving) {
      this.recordToldLeaving(routerId, engine);
    }
    const head: UpstreamResponseHead = {
      status: 200,
      notExecuted: false,
      wrongUpstream: false,
      matchesRequest: true,
      belongsToOtherRequest: false,
      upstreamLeaving: engine.leaving,
      retryAfter: { kind: RetryAfterKind.Absent },
      signed: true,
      forwardHeaders: [],
    };
    call.report({
      kind: RequestEventKind.UpstreamHead,
      attempt,
      head,
      bodyBytes: undefined,
      endsWithConnection: false,
    });
    this.sendEvent(engine, call, Number(call.request.lastEventId ?? 0) + 1);
  }

  private turnAway({ entry, shedsUntilMs }: Engine, { attempt, report, routerId }: RunningCall): void {
    const { nowMs } = this.timeline;
    const delayMs = shedsUntilMs - nowMs;
    this.askedForTime.push({ routerId, upstreamId: entry.upstreamId, atMs: nowMs, untilMs: shedsUntilMs });
    const head: UpstreamResponseHead = {
      status: 503,
      notExecuted: true,
      wrongUpstream: false,
      matchesRequest: true,
      belongsToOtherRequest: false,
      upstreamLeaving: false,
      retryAfter: { kind: RetryAfterKind.Delay, delayMs, isBounded: false },
      signed: false,
      forwardHeaders: [],
    };
    report({ kind: RequestEventKind.UpstreamHead, attempt, head, bodyBytes: 0, endsWithConnection: false });
  }

  private recordToldLeaving(routerId: string, { entry }: Engine): void {
    const key = `${routerId} ${entry.upstreamId}`;
    this.toldLeavingAtMs.set(key, this.toldLeavingAtMs.get(key) ?? this.timeline.nowMs);
  }

  private sendEvent(engine: Engine, call: RunningCall, eventId: number): void {
    if (call.ended || !engine.alive) {
      return;
    }
    const { attempt, report } = call;
    if (eventId > EVENT_COUNT) {
      call.ended = true;
      engine.calls.delete(call);
      report({ kind: RequestEventKind.UpstreamEnd, attempt, endsWithConnection: false });
      return;
    }
    report({
      kind: RequestEventKind.UpstreamData,
      attempt,
      data: Buffer.from(`id: ${eventId}\ndata: x\n\n`),
    });
    this.timeline.schedule(EVENT_INTERVAL_MS, () => {
      this.sendEvent(engine, call, eventId + 1);
    });
  }

  private end(engine: Engine): void {
    engine.alive = false;
    for (const call of engine.calls) {
      // Each router notices the closed connections at another time.
      this.timeline.schedule(10 + 60 * this.random(), () => {
        if (!call.ended) {
          call.ended = true;
          const { attempt, report } = call;
          report({
            kind: RequestEventKind.UpstreamFailed,
            attempt,
            failure: UpstreamFailure.ConnectionClosed,
            detail: 'closed',
          });
        }
      });
    }
    this.timeline.schedule(RESTART_MS, () => {
      this.startEngine(engine.entry.address);
      this.timeline.schedule(REGISTER_MS, () => {
        this.register();
      });
    });
  }
}
