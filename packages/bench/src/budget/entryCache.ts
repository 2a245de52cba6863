import type { CallerRequest, Effect } from '@pimentostall/core';
import { CallerRequestKind, EffectKind, EventKind } from '@pimentostall/core';
import type { Host, Simulation } from '@pimentostall/faults';

const CALLER_LATENCY_MS = 1;
const ENTRY_REQUEST: CallerRequest = { kind: CallerRequestKind.Entry };

interface EntryAnswer {
  readonly addresses: readonly string[];
  readonly keepMs: number;
}

/** Looks up an organisation's entry addresses at the routers of a region and caches the answer for its lifetime. */
export class EntryCache {
  private addresses: readonly string[] = [];
  private validUntilMs = 0;

  constructor(
    private readonly simulation: Simulation,
    private readonly region: string,
    private readonly keySha256: string,
  ) {}

  /** Passes the current addresses to the callback, preferred first; none if no router answers. */
  lookUp(onAddresses: (addresses: readonly string[]) => void): void {
    if (this.simulation.nowMs < this.validUntilMs) {
      onAddresses(this.addresses);
      return;
    }
    const hosts = this.simulation.hosts.filter(({ identity }) => identity.region === this.region);
    const firstIndex = Math.floor(this.simulation.random() * hosts.length);
    this.queryHosts([...hosts.slice(firstIndex), ...hosts.slice(0, firstIndex)], onAddresses);
  }

  /** Discards the cached answer after a failure, so that the next try looks it up again. */
  invalidate(): void {
    this.validUntilMs = 0;
  }

  private queryHosts(hosts: readonly Host[], onAddresses: (addresses: readonly string[]) => void): void {
    const [host, ...others] = hosts;
    if (host === undefined) {
      onAddresses([]);
      return;
    }
    const next = (): void => {
      this.queryHosts(others, onAddresses);
    };
    const onEffect = (effect: Effect): void => {
      if (effect.kind === EffectKind.CallerProblem) {
        next();
      } else if (effect.kind === EffectKind.CallerEnd) {
        const answer = JSON.parse(effect.data) as EntryAnswer;
        this.addresses = answer.addresses;
        this.validUntilMs = this.simulation.nowMs + answer.keepMs;
        onAddresses(answer.addresses);
      }
    };
    const exchangeId = this.simulation.openExchange(host, { onEffect, onConnectionBroken: next });
    if (exchangeId === undefined) {
      next();
      return;
    }
    const metadata = {
      keySha256: this.keySha256,
      idempotencyKey: undefined,
      redirected: false,
      target: '/v1/entry',
    };
    const event = { kind: EventKind.CallerArrived, exchangeId, request: ENTRY_REQUEST, metadata } as const;
    this.simulation.deliver(host, event, CALLER_LATENCY_MS);
  }
}
