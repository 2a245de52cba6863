import type { CallerRequest, Effect, Problem } from '@pimentostall/core';
import { CallerRequestKind, EffectKind, EventKind, Verdict } from '@pimentostall/core';
import type { Simulation } from '@pimentostall/faults';
import { LOST_CONNECTION_RETRY_MS, MAX_TRIES } from './callerPolicy.ts';
import type { EntryCache } from './entryCache.ts';
import { MAX_OUTPUT_TOKENS, MODEL } from './fleetSetup.ts';
import type { PlannedRequest } from './types.ts';

const CALLER_LATENCY_MS = 1;
const REDIRECT_STATUS = 307;
const TARGET = '/v1/chat/completions';
const MILLISECONDS_PER_SECOND = 1_000;

export enum CallOutcome {
  Answered = 'answered',
  Refused = 'refused',
  /** The caller does not know whether the request ran. */
  Unknown = 'unknown',
}

export interface BenchCallerSetup {
  readonly simulation: Simulation;
  readonly request: PlannedRequest;
  readonly keySha256: string;
  readonly entry: EntryCache;
  readonly onEnd: (outcome: CallOutcome) => void;
}

/** Sends one request to an entry address, follows one redirect and makes at most `MAX_TRIES` tries. */
export class BenchCaller {
  private tryCount = 0;
  private mayHaveRun = false;
  private readonly failedAddresses: string[] = [];

  constructor(private readonly setup: BenchCallerSetup) {}

  start(): void {
    this.tryCount += 1;
    this.setup.entry.lookUp((addresses) => {
      const leastRecentlyFailed = [...addresses].sort(
        (a, b) => this.failedAddresses.lastIndexOf(a) - this.failedAddresses.lastIndexOf(b),
      );
      this.send(leastRecentlyFailed[0], false);
    });
  }

  private send(address: string | undefined, redirected: boolean): void {
    const { simulation, request, keySha256 } = this.setup;
    const host = simulation.hosts.find(({ identity }) => identity.callerAddress === address);
    let status = 0;
    let location: string | undefined;
    const onEffect = (effect: Effect): void => {
      if (effect.kind === EffectKind.CallerStart) {
        status = effect.status;
        location = effect.headers.Location;
      } else if (effect.kind === EffectKind.CallerProblem) {
        this.onProblem(address, effect.problem);
      } else if (effect.kind === EffectKind.CallerEnd) {
        this.onAnswer(status, location);
      }
    };
    const onConnectionBroken = (): void => {
      this.mayHaveRun = true;
      this.retry(address, LOST_CONNECTION_RETRY_MS);
    };
    const exchangeId =
      host === undefined ? undefined : simulation.openExchange(host, { onEffect, onConnectionBroken });
    if (host === undefined || exchangeId === undefined) {
      this.retry(address, LOST_CONNECTION_RETRY_MS);
      return;
    }
    const metadata = { keySha256, idempotencyKey: request.key, redirected, target: TARGET };
    const event = {
      kind: EventKind.CallerArrived,
      exchangeId,
      request: createChatRequest(request),
      metadata,
    } as const;
    simulation.deliver(host, event, CALLER_LATENCY_MS);
  }

  private onAnswer(status: number, location: string | undefined): void {
    if (status !== REDIRECT_STATUS) {
      this.setup.onEnd(CallOutcome.Answered);
      return;
    }
    this.send(location === undefined ? undefined : new URL(location).host, true);
  }

  private onProblem(address: string | undefined, problem: Problem): void {
    this.mayHaveRun = this.mayHaveRun || problem.verdict !== Verdict.DidNotRun;
    if (problem.verdict === Verdict.DidNotRun && problem.retryAfterSeconds !== undefined) {
      this.retry(address, problem.retryAfterSeconds * MILLISECONDS_PER_SECOND);
    } else {
      this.finish();
    }
  }

  private retry(address: string | undefined, delayMs: number): void {
    if (this.tryCount >= MAX_TRIES) {
      this.finish();
      return;
    }
    if (address !== undefined) {
      this.failedAddresses.push(address);
    }
    this.setup.entry.invalidate();
    this.setup.simulation.schedule(delayMs, () => {
      this.start();
    });
  }

  private finish(): void {
    this.setup.onEnd(this.mayHaveRun ? CallOutcome.Unknown : CallOutcome.Refused);
  }
}

function createChatRequest({ prompt }: PlannedRequest): CallerRequest {
  return {
    kind: CallerRequestKind.ChatCompletion,
    model: MODEL,
    messages: [{ role: 'user', content: prompt }],
    maxOutputTokens: MAX_OUTPUT_TOKENS,
    stream: true,
  };
}
