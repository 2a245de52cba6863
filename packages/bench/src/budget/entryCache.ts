import type { CallerRequest, Effect } from '@pimentostall/core';
import { CallerRequestKind, EffectKind, EventKind } from '@pimentostall/core';
import type { Host, Simulation } from '@pimentostall/faults';

const CALLER_LATENCY_MS = 1;
const ENTRY_REQUEST: CallerRequest = { kind: CallerRequestKind.Entry };

interface EntryAnswer {
  readonly addresses: readonly string[];
  readonly keepMs: number;
}

/** Asks the routers of a region for an organisation's addresses and keeps the answer as long as it says. */
export class EntryCache {
  private addresses: readonly string[] = [];
  private validUntilMs = 0;

  constructor(
    private readonly simulation: Simulation,
    private readonly region: string,
    private readonly keySha256: string,
  ) {}

  /** Calls back with the addresses to use now, best first; empty if no router answers. */
  ask(use: (addresses: readonly string[]) => void): void {
    if (this.simulation.nowMs < this.validUntilMs) {
      use(this.addresses);
      return;
    }
    const hosts = this.simulation.hosts.filter(({ identity }) => identity.region === this.region);
    const first = Math.floor(this.simulation.random() * hosts.length);
    this.askFirst([...hosts.slice(first), ...hosts.slice(0, first)], use);
  }

  /** Forgets the answer after a failure, so that the next try asks again. */
  forget(): void {
    this.validUntilMs = 0;
  }

  private askFirst(hosts: readonly Host[], use: (addresses: readonly string[]) => void): void {
    const [host, ...others] = hosts;
    if (host === undefined) {
      use([]);
      return;
    }
    const next = (): void => {
      this.askFirst(others, use);
    };
    const onEffect = (effect: Effect): void => {
      if (effect.kind === EffectKind.CallerProblem) {
        next();
      } else if (effect.kind === EffectKind.CallerEnd) {
        const answer = JSON.parse(effect.data) as EntryAnswer;
        this.addresses = answer.addresses;
        this.validUntilMs = this.simulation.nowMs + answer.keepMs;
        use(answer.addresses);
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
