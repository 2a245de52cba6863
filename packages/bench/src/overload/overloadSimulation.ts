import type { CoreEvent, Effect, RouterIdentity, TableOutcome } from '@pimentostall/core';
import {
  EffectKind,
  EventKind,
  RouterCore,
  seededRandom,
  TableOutcomeKind,
  UpstreamRequestKind,
  VmRole,
  VmState,
} from '@pimentostall/core';
import { EventQueue } from '@pimentostall/faults';
import { parseConfigurationSections } from '@pimentostall/settings';
import { TableStore } from '@pimentostall/standins';
import { ENGINE_ADDRESSES, storedSections } from './configuration.ts';
import { OverloadEngine } from './overloadEngine.ts';
import { ROUTER_COUNT } from './options.ts';

const WALL_CLOCK_START_MS = 1_800_000_000_000;
const TABLE_DELAY_MS = 2;
const PEER_DELAY_MS = 1;
const MAX_STEP_INTERVAL_MS = 250;

type CallerEffect = Extract<Effect, { readonly exchangeId: string }>;
export type CallerListener = (effect: CallerEffect) => void;

interface Router {
  readonly core: RouterCore;
  readonly identity: RouterIdentity;
  wakeAtMs: number;
}

/** Runs real router cores with an in-memory table and simulated engines on one virtual clock. */
export class OverloadSimulation {
  readonly queue = new EventQueue();
  readonly listeners = new Map<string, CallerListener>();
  readonly random: () => number;
  readonly engines: OverloadEngine[];
  readonly failedTasks: string[] = [];
  nowMs = 0;
  attemptCount = 0;
  readonly #table = new TableStore();
  readonly #routers: Router[];

  constructor(seed: number) {
    this.random = seededRandom(seed);
    this.engines = ENGINE_ADDRESSES.map((address) => new OverloadEngine(address, this));
    this.#writeConfiguration();
    this.#routers = Array.from({ length: ROUTER_COUNT }, (_, index) => this.#createRouter(index));
    for (const router of this.#routers) {
      this.#step(router, { kind: EventKind.Tick });
    }
  }

  run(untilMs: number): void {
    while (this.queue.nextAtMs <= untilMs) {
      const entry = this.queue.takeNext();
      this.nowMs = entry?.atMs ?? this.nowMs;
      entry?.action();
    }
  }

  schedule(delayMs: number, action: () => void): void {
    this.queue.add(this.nowMs + delayMs, action);
  }

  /** Passes an event to a router without delay. */
  send(routerIndex: number, event: CoreEvent): void {
    const router = this.#routers[routerIndex];
    if (router !== undefined) {
      this.#step(router, event);
    }
  }

  #createRouter(index: number): Router {
    const identity: RouterIdentity = {
      routerId: `router-${index}`,
      vmId: `vm-router-${index}`,
      region: 'near',
      storeRegion: 'near',
      availabilityZone: 'near-a',
      callerAddress: `127.1.0.${index + 1}:8080`,
      peerAddress: `127.1.0.${index + 1}:8081`,
    };
    const random = seededRandom(Math.floor(this.random() * 2 ** 32));
    const parseConfiguration = parseConfigurationSections;
    const core = new RouterCore({ identity, random, clock: this.#clock(), parseConfiguration });
    return { core, identity, wakeAtMs: Infinity };
  }

  #clock(): { monotonicMs: number; wallMs: number } {
    return { monotonicMs: this.nowMs, wallMs: WALL_CLOCK_START_MS + this.nowMs };
  }

  #step(router: Router, event: CoreEvent): void {
    const { effects, nextDeadlineMs } = router.core.step([event], this.#clock());
    for (const effect of effects) {
      this.#execute(router, effect);
    }
    const atMs = Math.max(this.nowMs, Math.min(nextDeadlineMs, this.nowMs + MAX_STEP_INTERVAL_MS));
    if (atMs < router.wakeAtMs) {
      router.wakeAtMs = atMs;
      this.queue.add(atMs, () => {
        if (router.wakeAtMs === atMs) {
          router.wakeAtMs = Infinity;
          this.#step(router, { kind: EventKind.Tick });
        }
      });
    }
  }

  #execute(router: Router, effect: Effect): void {
    switch (effect.kind) {
      case EffectKind.TableRead:
        this.#replyFromTable(router, effect.callId, () => this.#rowsOutcome(this.#table.read(effect.keys)));
        return;
      case EffectKind.TableScan:
        this.#replyFromTable(router, effect.callId, () =>
          this.#rowsOutcome(this.#table.scan(effect.keyPrefix)),
        );
        return;
      case EffectKind.TableCommit:
        this.#replyFromTable(router, effect.callId, () => this.#table.commit(effect.transaction));
        return;
      case EffectKind.MembershipRead:
        this.#deliver(router, this.#membershipReply(effect.callId), TABLE_DELAY_MS);
        return;
      case EffectKind.PeerSend:
        this.#sendToPeer(router, effect);
        return;
      case EffectKind.UpstreamOpen:
        this.#openUpstream(router, effect);
        return;
      case EffectKind.UpstreamCancel:
        this.#engineAt(effect.address)?.cancel(effect.attemptId, effect.requestId, effect.stopExecution);
        return;
      case EffectKind.UpstreamProbe: {
        const { callId, address } = effect;
        const load = this.#engineAt(address)?.report();
        this.#deliver(router, { kind: EventKind.UpstreamProbed, callId, address, load }, PEER_DELAY_MS);
        return;
      }
      case EffectKind.CallerStart:
      case EffectKind.CallerChunk:
      case EffectKind.CallerEnd:
      case EffectKind.CallerProblem:
        this.listeners.get(effect.exchangeId)?.(effect);
        return;
      case EffectKind.Log:
        if (effect.fields.taskName !== undefined) {
          this.failedTasks.push(String(effect.fields.detail));
        }
        return;
      // The engines have their models loaded from the start, so orders need no reply.
      case EffectKind.EngineOrder:
      case EffectKind.EngineModelsRead:
      case EffectKind.AdminReply:
      case EffectKind.Metric:
      case EffectKind.Exit:
        return;
    }
  }

  #openUpstream(router: Router, effect: Extract<Effect, { kind: EffectKind.UpstreamOpen }>): void {
    const { attemptId, address, request } = effect;
    if (request.kind === UpstreamRequestKind.ServiceCall) {
      return;
    }
    this.attemptCount += 1;
    const send = (event: CoreEvent): void => {
      this.#deliver(router, event, 0);
    };
    this.#engineAt(address)?.open(attemptId, request, send);
  }

  #engineAt(address: string): OverloadEngine | undefined {
    return this.engines.find((engine) => engine.address === address);
  }

  #rowsOutcome(rows: ReturnType<TableStore['read']>): TableOutcome {
    return { kind: TableOutcomeKind.Rows, rows };
  }

  #replyFromTable(router: Router, callId: string, apply: () => TableOutcome): void {
    this.schedule(TABLE_DELAY_MS, () => {
      this.#deliver(router, { kind: EventKind.TableReply, callId, outcome: apply() }, TABLE_DELAY_MS);
    });
  }

  #deliver(router: Router, event: CoreEvent, delayMs: number): void {
    this.schedule(delayMs, () => {
      this.#step(router, event);
    });
  }

  #sendToPeer(senderRouter: Router, effect: Extract<Effect, { kind: EffectKind.PeerSend }>): void {
    const target = this.#routers.find(({ identity }) => identity.peerAddress === effect.peerAddress);
    if (target === undefined) {
      return;
    }
    const { region, routerId, vmId, availabilityZone, peerAddress } = senderRouter.identity;
    const { incarnationId } = senderRouter.core.board;
    const sender = { region, routerId, vmId, availabilityZone, peerAddress, incarnationId };
    const event: CoreEvent = { kind: EventKind.PeerReceived, sender, message: effect.message };
    this.#deliver(target, event, PEER_DELAY_MS);
  }

  #membershipReply(callId: string): CoreEvent {
    const liveVm = { state: VmState.Live, region: 'near', availabilityZone: 'near-a' };
    const routers = this.#routers.map(({ identity }) => ({
      vmId: identity.vmId,
      address: identity.peerAddress,
      role: VmRole.Router,
      ...liveVm,
    }));
    const engines = ENGINE_ADDRESSES.map((address) => ({
      vmId: `vm-${address}`,
      address,
      role: VmRole.Engine,
      ...liveVm,
    }));
    return { kind: EventKind.MembershipReply, callId, rows: [...routers, ...engines] };
  }

  #writeConfiguration(): void {
    const writes = storedSections().map(({ name, ...section }) => ({
      key: `config/section/${name}`,
      value: { name, ...section },
    }));
    const revision = { key: 'config/revision', value: { revision: 1 } };
    this.#table.commit({ checks: [], writes: [...writes, revision] });
  }
}
