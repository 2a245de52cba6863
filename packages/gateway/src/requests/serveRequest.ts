import type { Task } from '@pimentostall/core';
import { AttemptState, Verdict } from '@pimentostall/core';
import type { GatewayContext } from '../context.ts';
import { isSharingLoads } from '../engineLoad/engineLoadState.ts';
import { budgetOf, settleTokens } from '../money/account.ts';
import { openAccount } from '../money/ledgerController.ts';
import { reserveForRequest } from '../money/reserveForRequest.ts';
import { restorationWaitMs } from '../money/storeRestoration.ts';
import { ReserveOutcomeKind } from '../money/reserveTokens.ts';
import { LogLevel } from '../observability/log.ts';
import type { Placement } from '../placement/chooseUpstream.ts';
import { chooseUpstream, soonestResumeAtMs } from '../placement/chooseUpstream.ts';
import { ColdFilter } from '../placement/coldUpstreams.ts';
import { permittedUpstreams } from '../placement/permittedUpstreams.ts';
import { getOrCreateRetryBudget, tryReserveRetry } from '../retries/reserveRetry.ts';
import { chooseService } from '../routing/routeTable.ts';
import type { AttemptResult } from './attemptProgress.ts';
import { AttemptEnd } from './attemptProgress.ts';
import { LocalReplyReason, createLocalReply } from './localReplies.ts';
import { logAttempt } from './logAttempt.ts';
import type { CallerExchange } from './ports.ts';
import type { RestrictedRefusal } from './refuseRestricted.ts';
import { refuseRestricted } from './refuseRestricted.ts';
import { resumeDelayMs, retryDelayMs } from './retryDelay.ts';
import { runAttempt } from './runAttempt.ts';
import type { ServedRequest } from './servedRequest.ts';
import { isRetryable, requestVerdict } from './servedRequest.ts';
import type { WithheldRequest } from './suspectRequests.ts';
import { checkQuarantine, endProbe, mayRiskEngine, recordEndedEngine } from './suspectRequests.ts';
import { endWayBack, isOffWayBack, takeWayBack, takeWayBackAfter } from './wayBack.ts';
import { countDistance, recordZoneResponse, zoneReachOf } from './zoneReach.ts';

/** Maximum number of failed connection attempts per request; they do not count as sent. */
const MAX_UNSENT_ATTEMPTS = 3;
/** Assumed tokens per stream event of a plain service, which has no budget; only used for settling. */
const DEFAULT_TOKENS_PER_EVENT = 1;
/** Assumed deadline of a request that states none; the timeout of the route still applies. */
const DEFAULT_DEADLINE_MS = 10_000;

/** Serves one request, from admission to the final log entry. */
export function* serveRequest(context: GatewayContext, exchange: CallerExchange): Task<void> {
  try {
    const admission = admit(context, exchange);
    if (admission.kind === 'rejected') {
      finish(context, exchange, undefined, admission.reason, 'rejected at admission');
      return;
    }
    yield* serveAdmitted(context, admission.request);
  } catch (cause) {
    // An internal error: the caller must not wait for a response that never arrives. Closing the connection makes no
    // statement about whether the request was executed.
    context.log(LogLevel.Error, 'request failed with an internal error; closing the caller connection', {
      requestId: exchange.head.requestId,
      cause: cause instanceof Error ? cause.stack : String(cause),
    });
    exchange.abort();
  }
}

type Admission =
  | { readonly kind: 'rejected'; readonly reason: LocalReplyReason }
  | { readonly kind: 'admitted'; readonly request: ServedRequest };

function admit(context: GatewayContext, exchange: CallerExchange): Admission {
  const { board, options, loop } = context;
  const { head } = exchange;
  const { configuration, routeTable } = board;
  if (configuration === undefined || routeTable === undefined) {
    return { kind: 'rejected', reason: LocalReplyReason.NoConfiguration };
  }
  const route = routeTable.find(head.host, head.target);
  if (route === undefined) {
    return { kind: 'rejected', reason: LocalReplyReason.UnknownRoute };
  }
  const organisationName = head.key === undefined ? undefined : board.organisationByKey.get(head.key);
  if (configuration.requiresKeys && !route.anonymous && organisationName === undefined) {
    return { kind: 'rejected', reason: LocalReplyReason.UnknownKey };
  }
  if (head.requestId === undefined) {
    return { kind: 'rejected', reason: LocalReplyReason.MissingRequestId };
  }
  if (board.draining && loop.nowMs() - board.drainStartedAtMs > options.drainAcceptMs) {
    return { kind: 'rejected', reason: LocalReplyReason.Draining };
  }
  const serviceName = chooseService(route.targets, context.random());
  const service = serviceName === undefined ? undefined : configuration.services.get(serviceName);
  if (service === undefined) {
    return { kind: 'rejected', reason: LocalReplyReason.NoUpstream };
  }
  const waitMs = Math.min(head.deadlineMs ?? DEFAULT_DEADLINE_MS, route.timeoutMs);
  return {
    kind: 'admitted',
    request: {
      exchange,
      requestId: head.requestId,
      route,
      service,
      organisationName: route.anonymous ? undefined : organisationName,
      keyOwner: organisationName,
      configurationVersion: configuration.version,
      deadlineAtMs: exchange.arrivedAtMs + waitMs,
      attempts: [],
      triedUpstreams: new Set(),
      sentCount: 0,
      reservation: undefined,
      responseStarted: false,
      deliveredEvents: 0,
      lastEventId: head.lastEventId,
      firstDataMs: undefined,
      endedEngine: false,
      wayBack: undefined,
      probe: undefined,
    },
  };
}

function* serveAdmitted(context: GatewayContext, request: ServedRequest): Task<void> {
  getOrCreateRetryBudget(context, request.service.name).recordRequest(context.loop.nowMs());
  try {
    const refusal = refuseRestricted(context, request);
    if (refusal !== undefined) {
      finishRestricted(context, request, refusal);
      return;
    }
    const withheld = checkQuarantine(context, request);
    if (withheld !== undefined) {
      finishWithheld(context, request, withheld);
      return;
    }
    const rejectionReason = yield* reserve(context, request);
    if (rejectionReason !== undefined) {
      finish(context, request.exchange, request, rejectionReason, 'no tokens could be reserved', {
        fields: budgetLogFields(context, request),
        ...tokenRetryDelay(context, request),
      });
      return;
    }
    yield* runAttempts(context, request);
  } finally {
    settle(context, request);
    endProbe(context, request);
  }
}

/** Reserves the maximum token count of the request. Returns the reason for a rejection if that fails. */
function* reserve(context: GatewayContext, request: ServedRequest): Task<LocalReplyReason | undefined> {
  const { usage } = request.exchange.head;
  const { organisationName } = request;
  if (usage === undefined || organisationName === undefined) {
    return undefined;
  }
  if (context.board.configuration?.organisations.get(organisationName)?.tokenBudget === undefined) {
    return undefined;
  }
  const account = openAccount(context, organisationName);
  const reservedTokens = usage.promptTokens + usage.maxOutputTokens;
  const outcome = yield* reserveForRequest(context, account, {
    tokens: reservedTokens,
    targetMs: request.route.targetLatencyMs ?? request.deadlineAtMs - request.exchange.arrivedAtMs,
    deadlineAtMs: request.deadlineAtMs,
  });
  switch (outcome) {
    case ReserveOutcomeKind.Reserved:
      request.reservation = {
        account,
        reservedTokens,
        promptTokens: usage.promptTokens,
        maxOutputTokens: usage.maxOutputTokens,
      };
      return undefined;
    case ReserveOutcomeKind.BudgetExhausted:
      return LocalReplyReason.BudgetExhausted;
    case ReserveOutcomeKind.ShareShort:
      return LocalReplyReason.ShareShort;
  }
}

/** Delay of a request that was refused for lack of tokens, while no tokens are drawn after a return of the store. */
function tokenRetryDelay(context: GatewayContext, { deadlineAtMs }: ServedRequest): FinishOptions {
  const resumesInMs = restorationWaitMs(context);
  const remainingMs = deadlineAtMs - context.loop.nowMs();
  return resumesInMs > 0 ? { retryAfterMs: resumeDelayMs({ resumesInMs, remainingMs }, context.random) } : {};
}

/** Log fields that explain a rejection for lack of tokens: the ledger state with its version and age. */
function budgetLogFields(context: GatewayContext, request: ServedRequest): Readonly<Record<string, unknown>> {
  const { usage } = request.exchange.head;
  const account = context.board.accounts.get(request.organisationName ?? '');
  if (account === undefined || usage === undefined) {
    return {};
  }
  const { ledger } = account;
  const nowMs = context.loop.nowMs();
  return {
    neededTokens: usage.promptTokens + usage.maxOutputTokens,
    freeTokens: ledger.freeTokens,
    budgetTokens: budgetOf(context.board, account.organisationName),
    grantedTokens: ledger.rows.total.grantedTokens,
    settledTokens: ledger.rows.total.settledTokens,
    rowVersion: ledger.rows.totalVersion,
    rowAgeMs: ledger.syncedAtMs === undefined ? undefined : Math.round(nowMs - ledger.syncedAtMs),
    storeSilentMs: Math.round(nowMs - (context.board.storeLastReplyAtMs ?? nowMs)),
  };
}

function settle(context: GatewayContext, request: ServedRequest): void {
  const { reservation } = request;
  if (reservation === undefined) {
    return;
  }
  const ran = requestVerdict(request) !== Verdict.DidNotRun;
  const tokensPerEvent = request.service.engine?.tokensPerEvent ?? DEFAULT_TOKENS_PER_EVENT;
  const outputTokens = Math.min(reservation.maxOutputTokens, request.deliveredEvents * tokensPerEvent);
  const spentTokens = ran ? reservation.promptTokens + outputTokens : 0;
  settleTokens(context, reservation.account, reservation.reservedTokens, spentTokens);
}

function* runAttempts(context: GatewayContext, request: ServedRequest): Task<void> {
  for (;;) {
    if (request.exchange.isDisconnected()) {
      finish(context, request.exchange, request, undefined, 'caller disconnected before an attempt');
      return;
    }
    if (context.board.endingRequests) {
      finish(context, request.exchange, request, LocalReplyReason.Draining, 'router exits before an attempt');
      return;
    }
    const withheld = checkQuarantine(context, request);
    if (withheld !== undefined) {
      finishWithheld(context, request, withheld);
      return;
    }
    const cold = new ColdFilter(context);
    const placement = choosePlacement(context, request, cold);
    cold.recordPlacement(placement !== undefined);
    if (placement === undefined) {
      if (takeWayBack(context, request)) {
        continue;
      }
      finishUnplaced(context, request, cold);
      return;
    }
    countDistance(context, request, placement);
    const mayRetry = request.sentCount + 1 < request.route.maxAttempts;
    const result = yield* runAttempt(context, request, placement, mayRetry);
    endWayBack(request);
    logAttempt(context, request, placement, result);
    recordZoneResponse(context, request, placement, result);
    yield* recordEndedEngine(context, request, placement, result);
    const step = nextStep(context, request, result);
    if (step !== 'retry' && !takeWayBackAfter(context, request, result)) {
      finish(context, request.exchange, request, step, result.detail);
      return;
    }
  }
}

function choosePlacement(
  context: GatewayContext,
  request: ServedRequest,
  cold: ColdFilter,
): Placement | undefined {
  const { head } = request.exchange;
  return chooseUpstream(
    {
      serviceName: request.service.name,
      promptParts: head.promptParts,
      promptTokens: head.usage?.promptTokens ?? 0,
      excluded: request.triedUpstreams,
      spreadKey: request.endedEngine ? request.requestId : undefined,
      tieKey: request.service.engine !== undefined && isSharingLoads(context) ? request.requestId : undefined,
      isWithheld: (upstream) => cold.isWithheld(upstream) || isOffWayBack(request, upstream),
      reach: zoneReachOf(context, request),
    },
    permittedUpstreams(context, request),
    context.location,
    context.loop.nowMs(),
    context.options.placement,
  );
}

/** Returns `retry`, the reason for the final reply, or undefined if the caller was answered or disconnected. */
function nextStep(
  context: GatewayContext,
  request: ServedRequest,
  result: AttemptResult,
): LocalReplyReason | 'retry' | undefined {
  switch (result.end) {
    case AttemptEnd.Answered:
    case AttemptEnd.CallerDisconnected:
      return undefined;
    case AttemptEnd.DeadlineExceeded:
      return LocalReplyReason.DeadlineExceeded;
    case AttemptEnd.RouterStopping:
      return LocalReplyReason.Draining;
    case AttemptEnd.Withdrawn:
      return LocalReplyReason.PartQuarantined;
    case AttemptEnd.NotSent:
      return request.attempts.filter(({ state }) => state === AttemptState.NotSent).length <
        MAX_UNSENT_ATTEMPTS
        ? 'retry'
        : LocalReplyReason.UpstreamFailed;
    case AttemptEnd.Refused:
      // The upstream did not execute the request, so that unsafe requests can be retried too.
      return tryReserveRetry(context, request) ? 'retry' : LocalReplyReason.UpstreamRefused;
    case AttemptEnd.ErrorResponse:
    case AttemptEnd.Broken:
      return isRetryable(request) &&
        mayRiskEngine(context, request) &&
        (result.retryReserved === true || tryReserveRetry(context, request))
        ? 'retry'
        : LocalReplyReason.UpstreamFailed;
  }
}

function finishUnplaced(context: GatewayContext, request: ServedRequest, cold: ColdFilter): void {
  const { loop, random } = context;
  const nowMs = loop.nowMs();
  const resumesAtMs = Math.min(
    soonestResumeAtMs(request.service.name, permittedUpstreams(context, request), nowMs) ?? Infinity,
    cold.nextAllowanceAtMs ?? Infinity,
  );
  if (resumesAtMs === Infinity) {
    const refusal = refuseRestricted(context, request);
    if (refusal !== undefined) {
      finishRestricted(context, request, refusal);
      return;
    }
    const reason =
      request.attempts.length === 0 ? LocalReplyReason.NoUpstream : LocalReplyReason.UpstreamFailed;
    finish(context, request.exchange, request, reason, 'no other upstream available');
    return;
  }
  const resumesInMs = resumesAtMs - nowMs;
  finish(
    context,
    request.exchange,
    request,
    LocalReplyReason.UpstreamsBusy,
    'all upstreams are unavailable, ask for time or are cold',
    {
      fields: { resumesInMs: Math.round(resumesInMs), cold: cold.nextAllowanceAtMs !== undefined },
      retryAfterMs: resumeDelayMs({ resumesInMs, remainingMs: request.deadlineAtMs - nowMs }, random),
    },
  );
}

interface FinishOptions {
  /** Additional fields of the log entry. */
  readonly fields?: Readonly<Record<string, unknown>>;
  /** Delay after which the caller may send the request again; by default that of the reason. */
  readonly retryAfterMs?: number;
}

function finishRestricted(
  context: GatewayContext,
  request: ServedRequest,
  { reason, detail, fields }: RestrictedRefusal,
): void {
  finish(context, request.exchange, request, reason, detail, { fields });
}

function finishWithheld(
  context: GatewayContext,
  request: ServedRequest,
  { partId, retryInMs }: WithheldRequest,
): void {
  finish(
    context,
    request.exchange,
    request,
    LocalReplyReason.PartQuarantined,
    'part of the prompt is quarantined',
    { fields: { partId }, retryAfterMs: retryInMs },
  );
}

/** Sends the final reply if the caller has no response yet, and writes the log entry and metrics of the request. */
function finish(
  context: GatewayContext,
  exchange: CallerExchange,
  request: ServedRequest | undefined,
  reason: LocalReplyReason | undefined,
  detail: string,
  { fields = {}, retryAfterMs }: FinishOptions = {},
): void {
  const verdict = request === undefined ? Verdict.DidNotRun : requestVerdict(request);
  let status: number | undefined;
  if (reason !== undefined) {
    if (request?.responseStarted === true) {
      exchange.abort();
    } else {
      const reply = createLocalReply(
        reason,
        verdict,
        retryAfterMs ?? retryDelayMs(reason, context.options, context.random),
      );
      ({ status } = reply);
      exchange.sendLocalReply(reply);
    }
  }
  context.log(LogLevel.Info, 'request ended', {
    requestId: exchange.head.requestId,
    organisation: request?.organisationName,
    route: request?.route.name,
    service: request?.service.name,
    configurationVersion: request?.configurationVersion ?? context.board.configuration?.version,
    reason: reason ?? 'answered',
    status,
    verdict,
    detail,
    attempts: request?.attempts.length ?? 0,
    events: request?.deliveredEvents,
    firstDataMs: elapsedMs(exchange, request?.firstDataMs),
    totalMs: elapsedMs(exchange, context.loop.nowMs()),
    ...fields,
  });
  context.metrics.recordRequest({
    organisation: request?.organisationName ?? 'none',
    route: request?.route.name ?? 'none',
    outcome: reason ?? 'answered',
    firstDataMs: elapsedMs(exchange, request?.firstDataMs),
    totalMs: context.loop.nowMs() - exchange.arrivedAtMs,
  });
}

function elapsedMs(exchange: CallerExchange, atMs: number | undefined): number | undefined {
  return atMs === undefined ? undefined : Math.round(atMs - exchange.arrivedAtMs);
}
