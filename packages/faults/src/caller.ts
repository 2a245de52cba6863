import type { CallerRequest, Effect, RefusalReason, Verdict } from '@pimentostall/core';
import { CallerRequestKind, EffectKind, EventKind } from '@pimentostall/core';
import { KEY_SHA256, MAX_OUTPUT_TOKENS, MODEL } from './fleet.ts';
import type { Host } from './host.ts';
import type { Simulation } from './simulation.ts';

const CALLER_LATENCY_MS = 1;
const RETRY_DELAY_MS = 700;
const ANSWER_TIMEOUT_MS = 30_000;
const MAX_TRIES = 6;
const REDIRECT_STATUS = 307;

export enum CallKind {
  Chat = 'chat',
  Order = 'order',
}

export enum CallState {
  Open = 'open',
  Answered = 'answered',
  Refused = 'refused',
  /** The caller stopped retrying without knowing whether the request ran. */
  GivenUp = 'givenUp',
}

/** One exchange of a request with a router, as the caller saw it. */
export interface Exchange {
  readonly exchangeId: string;
  readonly hostIndex: number;
  readonly startedAtMs: number;
  endedAtMs: number | undefined;
  verdict: Verdict | undefined;
  reason: RefusalReason | undefined;
  connectionBroken: boolean;
}

/** One request of a caller with all its exchanges. */
export interface Call {
  readonly key: string;
  readonly kind: CallKind;
  readonly organisationId: string;
  readonly exchanges: Exchange[];
  state: CallState;
  /** Content of the answer: the joined tokens of a chat, or the body of an order. */
  text: string;
  body: string;
  lastVerdict: Verdict | undefined;
}

export interface CallSetup {
  readonly key: string;
  readonly kind: CallKind;
  readonly organisationId: string;
  readonly firstHost: number;
}

/** Sends a request, and retries it on the next router if it was refused or its outcome is unknown. */
export function startCall(simulation: Simulation, setup: CallSetup): Call {
  const call: Call = {
    key: setup.key,
    kind: setup.kind,
    organisationId: setup.organisationId,
    exchanges: [],
    state: CallState.Open,
    text: '',
    body: '',
    lastVerdict: undefined,
  };
  sendTo(simulation, call, setup.firstHost, false);
  return call;
}

function sendTo(simulation: Simulation, call: Call, hostIndex: number, redirected: boolean): void {
  const host = simulation.hosts[hostIndex % simulation.hosts.length];
  if (host === undefined || call.state !== CallState.Open) {
    return;
  }
  const connection = new Connection(simulation, call, hostIndex);
  const exchangeId = simulation.openExchange(host, connection);
  if (exchangeId === undefined) {
    retryOnNextRouter(simulation, call, hostIndex);
    return;
  }
  connection.open(exchangeId);
  deliverRequest(simulation, host, call, exchangeId, redirected);
  simulation.schedule(ANSWER_TIMEOUT_MS, () => {
    connection.giveUp(host, exchangeId);
  });
}

function deliverRequest(
  simulation: Simulation,
  host: Host,
  call: Call,
  exchangeId: string,
  redirected: boolean,
): void {
  const request = requestOf(call);
  const metadata = {
    keySha256: KEY_SHA256[call.organisationId],
    idempotencyKey: call.key,
    redirected,
    target: '/v1/chat/completions',
  };
  simulation.deliver(
    host,
    { kind: EventKind.CallerArrived, exchangeId, request, metadata },
    CALLER_LATENCY_MS,
  );
}

function requestOf(call: Call): CallerRequest {
  switch (call.kind) {
    case CallKind.Chat:
      return {
        kind: CallerRequestKind.ChatCompletion,
        model: MODEL,
        messages: [{ role: 'user', content: `Please explain ${call.key} in a few words.` }],
        maxOutputTokens: MAX_OUTPUT_TOKENS,
        stream: true,
      };
    case CallKind.Order:
      return {
        kind: CallerRequestKind.ServiceCall,
        serviceId: 'orders',
        method: 'POST',
        path: '/orders',
        body: JSON.stringify({ order: call.key }),
        contentType: 'application/json',
      };
  }
}

function retryOnNextRouter(simulation: Simulation, call: Call, hostIndex: number): void {
  if (call.exchanges.length >= MAX_TRIES) {
    call.state = call.lastVerdict === undefined ? CallState.GivenUp : CallState.Refused;
    return;
  }
  simulation.schedule(RETRY_DELAY_MS, () => {
    sendTo(simulation, call, hostIndex + 1, false);
  });
}

/** Caller side of one exchange. */
class Connection {
  private data = '';
  private status = 0;
  private location: string | undefined;
  private ended = false;
  private exchange: Exchange | undefined;

  constructor(
    private readonly simulation: Simulation,
    private readonly call: Call,
    private readonly hostIndex: number,
  ) {}

  open(exchangeId: string): void {
    this.exchange = {
      exchangeId,
      hostIndex: this.hostIndex % this.simulation.hosts.length,
      startedAtMs: this.simulation.nowMs,
      endedAtMs: undefined,
      verdict: undefined,
      reason: undefined,
      connectionBroken: false,
    };
    this.call.exchanges.push(this.exchange);
  }

  onEffect(effect: Effect): void {
    switch (effect.kind) {
      case EffectKind.CallerStart:
        this.status = effect.status;
        this.location = effect.headers.Location;
        return;
      case EffectKind.CallerChunk:
        this.data += effect.data;
        return;
      case EffectKind.CallerEnd:
        this.data += effect.data;
        this.end();
        this.onAnswer();
        return;
      case EffectKind.CallerProblem:
        this.end();
        this.recordRefusal(effect.problem.verdict, effect.problem.reason);
        this.call.lastVerdict = effect.problem.verdict;
        retryOnNextRouter(this.simulation, this.call, this.hostIndex);
        return;
      default:
        return;
    }
  }

  onConnectionBroken(): void {
    if (this.ended) {
      return;
    }
    this.end();
    if (this.exchange !== undefined) {
      this.exchange.connectionBroken = true;
    }
    this.call.lastVerdict = undefined;
    retryOnNextRouter(this.simulation, this.call, this.hostIndex);
  }

  giveUp(host: Host, exchangeId: string): void {
    if (this.ended) {
      return;
    }
    this.simulation.listeners.delete(exchangeId);
    this.simulation.deliver(host, { kind: EventKind.CallerGone, exchangeId }, CALLER_LATENCY_MS);
    this.onConnectionBroken();
  }

  private end(): void {
    this.ended = true;
    if (this.exchange !== undefined) {
      this.exchange.endedAtMs = this.simulation.nowMs;
    }
  }

  private recordRefusal(verdict: Verdict, reason: RefusalReason): void {
    if (this.exchange !== undefined) {
      this.exchange.verdict = verdict;
      this.exchange.reason = reason;
    }
  }

  private onAnswer(): void {
    if (this.status === REDIRECT_STATUS) {
      const target = this.simulation.hosts.findIndex(({ identity }) =>
        this.location?.includes(identity.callerAddress),
      );
      sendTo(this.simulation, this.call, target, true);
      return;
    }
    this.call.state = CallState.Answered;
    this.call.body = this.data;
    this.call.text = this.call.kind === CallKind.Chat ? textOf(this.data) : this.data;
  }
}

interface ChatChunk {
  readonly choices: readonly { readonly delta: { readonly content?: string } }[];
}

/** Joins the content of a streamed chat completion. A stream without its `[DONE]` event yields a placeholder text. */
function textOf(data: string): string {
  const lines = data.split('\n\n').filter((line) => line.startsWith('data: '));
  if (lines.at(-1) !== 'data: [DONE]') {
    return '(incomplete stream)';
  }
  const chunks = lines.slice(0, -1).map((line) => JSON.parse(line.slice('data: '.length)) as ChatChunk);
  return chunks.map((chunk) => chunk.choices[0]?.delta.content ?? '').join('');
}
