import type { CoreEvent, Effect, RouterIdentity, VmRow } from '@pimentostall/core';
import {
  DEFAULT_CORE_OPTIONS,
  EventKind,
  RouterCore,
  VmRole,
  VmState,
  seededRandom,
} from '@pimentostall/core';
import { parseConfigurationSections } from '@pimentostall/settings';
import { TableStore } from '@pimentostall/standins';
import { EventQueue } from './eventQueue.ts';
import { executeEffect } from './executeEffect.ts';
import { FakeEngine } from './fakes/fakeEngine.ts';
import { FakeService } from './fakes/fakeService.ts';
import type { FaultPlan } from './faultPlan.ts';
import { OPERATOR_KEY_SHA256, regionOf } from './fleet.ts';
import type { Host } from './host.ts';
import { createHost } from './host.ts';
import { FAR_LATENCY_MS, MAX_STEP_GAP_MS, MEMBERSHIP_LAG_MS, NEAR_LATENCY_MS } from './options.ts';
import type { FleetSetup } from './fleetSetup.ts';
import { MATRIX_FLEET_SETUP } from './fleetSetup.ts';
import type { SimulationHooks } from './simulationHooks.ts';
import type { Fault, Violation } from './types.ts';
import { FaultKind, PromiseName } from './types.ts';

/** Wall clock at the start of a run. Arbitrary: only differences matter. */
const WALL_CLOCK_START_MS = 1_800_000_000_000;

/** Receives the replies to one exchange of a caller or operator. */
export interface ExchangeListener {
  onEffect(effect: Effect): void;
  /** The connection was lost before the reply was complete. */
  onConnectionBroken(): void;
}

/** Start of the execution of a request on an upstream. */
export interface UpstreamStart {
  readonly address: string;
  readonly requestId: string;
  readonly exchangeId: string | undefined;
  readonly atMs: number;
  /** Time since the sending router was last frozen. Shortly after a freeze it may not know of a leaving upstream. */
  readonly sinceThawMs: number;
}

export interface SimulationSetup {
  readonly seed: number;
  readonly plan: FaultPlan;
  readonly hooks?: SimulationHooks;
  /** Fleet and timing; the fleet of the fault matrix if absent. */
  readonly fleetSetup?: FleetSetup;
}

/**
 * Runs several router cores against fakes of their interfaces, on one event queue and a virtual clock. Deterministic:
 * the seed and the fault plan decide the whole run.
 */
export class Simulation {
  readonly queue = new EventQueue();
  readonly table = new TableStore();
  readonly fleetSetup: FleetSetup;
  readonly engines: ReadonlyMap<string, FakeEngine>;
  readonly service: FakeService;
  readonly hosts: Host[];
  readonly random: () => number;
  readonly plan: FaultPlan;
  readonly violations: Violation[] = [];
  /** Error details of the core tasks that threw. */
  readonly defects: string[] = [];
  readonly listeners = new Map<string, ExchangeListener>();
  /** Ids of the upstream attempts that may still deliver events. */
  readonly openAttempts = new Set<string>();
  /** Indexes of the routers whose first configuration from a peer was delayed. */
  readonly delayedConfigurationHosts = new Set<number>();
  /** Called after every commit to the table. */
  readonly commitWatchers: (() => void)[] = [];
  /** Called after every step of a core. */
  readonly stepWatchers: ((host: Host) => void)[] = [];
  /** Executions that upstreams started, each with the exchange that caused it. */
  readonly upstreamStarts: UpstreamStart[] = [];
  nowMs = 0;
  partitionedUntilMs = 0;
  storeDownUntilMs = 0;
  storeSlowUntilMs = 0;
  /** Exchanges whose request has reached its router. */
  private readonly arrivedExchanges = new Set<string>();
  private readonly hooks: SimulationHooks;
  private members: VmRow[] = [];
  private exchangeCount = 0;

  constructor(setup: SimulationSetup) {
    this.random = seededRandom(setup.seed);
    this.plan = setup.plan;
    this.hooks = setup.hooks ?? {};
    this.fleetSetup = setup.fleetSetup ?? MATRIX_FLEET_SETUP;
    const { engineAddresses, engineOptions, serviceAddress } = this.fleetSetup;
    this.engines = new Map(
      engineAddresses.map((address) => [address, new FakeEngine(address, engineOptions)]),
    );
    this.service = new FakeService(serviceAddress);
    this.hosts = this.fleetSetup.identities.map((identity, index) => createHost(index, identity));
    this.writeInitialRows();
    this.hooks.setUp?.(this);
    for (const host of this.hosts) {
      this.startHost(host);
    }
    this.publishMembers(0);
  }

  run(untilMs: number): void {
    while (this.queue.nextAtMs <= untilMs) {
      const entry = this.queue.takeNext();
      if (entry === undefined) {
        return;
      }
      this.nowMs = Math.max(this.nowMs, entry.atMs);
      entry.action();
    }
  }

  schedule(delayMs: number, action: () => void): void {
    this.queue.add(this.nowMs + delayMs, action);
  }

  /** Delivers an event after a delay, unless the host's process has been replaced or has ended by then. */
  deliver(host: Host, event: CoreEvent, delayMs: number): void {
    const { generation } = host;
    this.schedule(delayMs, () => {
      if (host.core !== undefined && host.generation === generation) {
        this.receive(host, event);
      }
    });
  }

  /** Opens an exchange of a caller or operator with a host. Returns undefined if the host is not running. */
  openExchange(host: Host, listener: ExchangeListener): string | undefined {
    if (host.core === undefined) {
      return undefined;
    }
    this.exchangeCount += 1;
    const exchangeId = `${host.index}/${host.generation}/${this.exchangeCount}`;
    this.listeners.set(exchangeId, listener);
    return exchangeId;
  }

  isPartitioned(a: string, b: string): boolean {
    return a !== b && this.nowMs < this.partitionedUntilMs;
  }

  /** Passes a payload that crosses between two regions to the `onLinkTransfer` callback of the fleet. */
  reportLinkTransfer(a: string, b: string, payload: unknown): void {
    if (a !== b) {
      this.fleetSetup.onLinkTransfer?.(payload);
    }
  }

  latencyMs(a: string, b: string): number {
    return a === b ? NEAR_LATENCY_MS : FAR_LATENCY_MS;
  }

  /** Pause limit that the routers of this simulation use. */
  get pauseLimitMs(): number {
    return this.fleetSetup.coreOptions.pauseLimitMs ?? DEFAULT_CORE_OPTIONS.pauseLimitMs;
  }

  get memberRows(): readonly VmRow[] {
    return this.members;
  }

  reportViolation(promise: PromiseName, detail: string): void {
    this.violations.push({ promise, detail: `${this.nowMs} ms: ${detail}` });
  }

  /** Ends a process abruptly. Its VM is replaced after `replaceAfterMs`. */
  crash(host: Host): void {
    this.endProcess(host);
    this.publishMembers(MEMBERSHIP_LAG_MS);
    this.schedule(this.fleetSetup.replaceAfterMs, () => {
      this.startHost(host);
      this.publishMembers(0);
    });
  }

  freeze(host: Host, durationMs: number): void {
    host.frozenUntilMs = this.nowMs + durationMs;
    this.schedule(durationMs, () => {
      this.thaw(host);
    });
  }

  /** Ends a process that emitted the Exit effect. Reports a violation if exchanges are still open. */
  exit(host: Host): void {
    const openCount = [...this.listeners.keys()].filter(
      (id) => id.startsWith(`${host.index}/`) && this.arrivedExchanges.has(id),
    ).length;
    if (openCount > 0) {
      this.reportViolation(
        PromiseName.GracefulStop,
        `router ${host.index} exited with ${openCount} open exchanges`,
      );
    }
    host.exited = true;
    this.endProcess(host);
    this.publishMembers(MEMBERSHIP_LAG_MS);
  }

  private endProcess(host: Host): void {
    host.core = undefined;
    host.generation += 1;
    host.suspendedEffects = [];
    host.pendingEvents = [];
    host.frozenUntilMs = 0;
    const prefix = `${host.index}/`;
    for (const [exchangeId, listener] of [...this.listeners]) {
      if (exchangeId.startsWith(prefix)) {
        this.listeners.delete(exchangeId);
        listener.onConnectionBroken();
      }
    }
  }

  private startHost(host: Host): void {
    const replaced = host.generation > 0;
    const identity: RouterIdentity = replaced
      ? { ...host.identity, vmId: `${host.identity.vmId}-${host.generation}` }
      : host.identity;
    host.core = new RouterCore({
      identity,
      random: seededRandom(Math.floor(this.random() * 2 ** 32)),
      clock: this.clock(),
      parseConfiguration: parseConfigurationSections,
      options: this.fleetSetup.coreOptions,
    });
    this.receive(host, { kind: EventKind.Tick });
  }

  private clock(): { monotonicMs: number; wallMs: number } {
    return { monotonicMs: this.nowMs, wallMs: WALL_CLOCK_START_MS + this.nowMs };
  }

  private receive(host: Host, event: CoreEvent): void {
    if (event.kind === EventKind.CallerArrived || event.kind === EventKind.AdminArrived) {
      this.arrivedExchanges.add(event.exchangeId);
    }
    if (this.nowMs < host.frozenUntilMs) {
      host.pendingEvents.push(event);
      return;
    }
    this.step(host, [event]);
  }

  private step(host: Host, events: readonly CoreEvent[]): void {
    if (host.core === undefined) {
      return;
    }
    const { mapEvent, mapEffect } = this.hooks;
    const mappedEvents = mapEvent === undefined ? events : events.map((each) => mapEvent(each, host.index));
    const result = host.core.step(mappedEvents, this.clock());
    host.steppedAtMs = this.nowMs;
    for (const watch of this.stepWatchers) {
      watch(host);
    }
    const effects =
      mapEffect === undefined ? result.effects : result.effects.map((each) => mapEffect(each, host.index));
    this.execute(host, effects);
    this.scheduleStep(host, result.nextDeadlineMs);
  }

  private scheduleStep(host: Host, nextDeadlineMs: number): void {
    host.stepTimerToken += 1;
    const token = host.stepTimerToken;
    const { generation } = host;
    const atMs = Math.max(this.nowMs, Math.min(nextDeadlineMs, this.nowMs + MAX_STEP_GAP_MS));
    this.queue.add(atMs, () => {
      if (
        host.stepTimerToken === token &&
        host.generation === generation &&
        this.nowMs >= host.frozenUntilMs
      ) {
        this.step(host, [{ kind: EventKind.Tick }]);
      }
    });
  }

  private execute(host: Host, effects: readonly Effect[]): void {
    const { generation } = host;
    for (const [index, effect] of effects.entries()) {
      const fault = this.plan.next(effect);
      if (fault === undefined) {
        executeEffect(this, host, effect, undefined);
      } else if (!this.applyFault(host, fault, effect, effects.slice(index))) {
        return;
      }
      if (host.generation !== generation) {
        return;
      }
    }
  }

  /** Applies a fault at an effect. Returns false if the process does not execute its remaining effects now. */
  private applyFault(host: Host, fault: Fault, effect: Effect, remaining: readonly Effect[]): boolean {
    this.plan.recordApplied(fault);
    switch (fault.kind) {
      case FaultKind.CrashBefore:
        this.crash(host);
        return false;
      case FaultKind.CrashAfter:
        executeEffect(this, host, effect, undefined);
        this.crash(host);
        return false;
      case FaultKind.Freeze:
        host.suspendedEffects = [...remaining];
        this.freeze(host, fault.durationMs);
        return false;
      case FaultKind.FreezeInWindow:
        return this.freezeInWindow(host, fault, effect, remaining);
      case FaultKind.RegionCut:
        this.partitionedUntilMs = this.nowMs + fault.durationMs;
        break;
      case FaultKind.StoreDown:
        this.storeDownUntilMs = this.nowMs + fault.durationMs;
        break;
      case FaultKind.StoreSlow:
        this.storeSlowUntilMs = this.nowMs + fault.durationMs;
        break;
      case FaultKind.ReplyLost:
      case FaultKind.Duplicate:
      case FaultKind.Reorder:
        executeEffect(this, host, effect, fault);
        return true;
    }
    executeEffect(this, host, effect, undefined);
    return true;
  }

  /** Freezes between the pause check and the write, so the write is executed after the freeze without another check. */
  private freezeInWindow(host: Host, fault: Fault, effect: Effect, remaining: readonly Effect[]): boolean {
    const { generation } = host;
    this.schedule(fault.durationMs, () => {
      if (host.generation === generation) {
        executeEffect(this, host, effect, undefined, { skipPauseCheck: true });
      }
    });
    host.suspendedEffects = remaining.slice(1);
    this.freeze(host, fault.durationMs);
    return false;
  }

  private thaw(host: Host): void {
    if (host.core === undefined || this.nowMs < host.frozenUntilMs) {
      return;
    }
    host.thawedAtMs = this.nowMs;
    const effects = host.suspendedEffects;
    const events = host.pendingEvents;
    host.suspendedEffects = [];
    host.pendingEvents = [];
    this.execute(host, effects);
    this.step(host, [...events, { kind: EventKind.Tick }]);
  }

  private publishMembers(lagMs: number): void {
    this.schedule(lagMs, () => {
      const routers = this.hosts.filter((host) => host.core !== undefined).map((host) => routerRow(host));
      const engines = [...this.engines.values()].map((engine) => upstreamRow(engine.address, VmRole.Engine));
      this.members = [...routers, ...engines, upstreamRow(this.service.address, VmRole.Service)];
    });
  }

  private writeInitialRows(): void {
    const { sections } = this.fleetSetup;
    const writes = sections.map(({ name, ...section }) => ({
      key: `config/section/${name}`,
      value: { name, ...section },
    }));
    this.table.commit({
      checks: [],
      writes: [
        ...writes,
        { key: 'config/revision', value: { revision: 1 } },
        {
          key: `operator/${OPERATOR_KEY_SHA256}`,
          value: { operatorId: 'operator', sections: sections.map(({ name }) => name) },
        },
      ],
    });
  }
}

function routerRow(host: Host): VmRow {
  const { identity, generation } = host;
  return {
    vmId: generation > 0 ? `${identity.vmId}-${generation}` : identity.vmId,
    address: identity.peerAddress,
    role: VmRole.Router,
    state: VmState.Live,
    region: identity.region,
    availabilityZone: identity.availabilityZone,
  };
}

function upstreamRow(address: string, role: VmRole): VmRow {
  const region = regionOf(address);
  return {
    vmId: `vm-${address}`,
    address,
    role,
    state: VmState.Live,
    region,
    availabilityZone: `${region}-a`,
  };
}
