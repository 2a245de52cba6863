import type { CoreContext } from '../context.ts';
import { ServiceKind } from '../types/configuration.ts';
import { VmRole, VmState } from '../types/membership.ts';
import { createUpstreamInfo } from './createUpstreamInfo.ts';
import type { UpstreamInfo } from './types.ts';

/** Failures often end within a second; a first ejection of 10 s cost a third of capacity (bench:overload). */
const INITIAL_EJECTION_MS = 500;

/** Returns the state of an upstream, creating it on first use. */
export function getOrCreateUpstreamInfo(context: CoreContext, address: string): UpstreamInfo {
  const { upstreams } = context.board.routing;
  let info = upstreams.get(address);
  if (info === undefined) {
    info = createUpstreamInfo(address);
    upstreams.set(address, info);
  }
  return info;
}

/**
 * Excludes upstreams that the membership list shows as leaving from new work. Plain services are not probed,
 * so for them only the list clears the flag, when a new VM takes over the address.
 */
export function applyMembershipList(context: CoreContext): void {
  context.board.routing.appliedListReadAtMs = context.board.membership.listReadAtMs;
  for (const vm of context.board.membership.vms.values()) {
    if (vm.role === VmRole.Router) {
      continue;
    }
    const info = getOrCreateUpstreamInfo(context, vm.address);
    if (vm.state === VmState.Leaving) {
      markLeaving(context, info);
    } else if (vm.role === VmRole.Service) {
      info.leaving = false;
    }
  }
}

/** Removes upstreams that are no longer configured, which bounds memory over many replacements. */
export function removeUnconfiguredUpstreams(context: CoreContext): void {
  const document = context.board.configuration?.document;
  if (document === undefined) {
    return;
  }
  const serviceAddresses = document.services.flatMap((service) =>
    service.kind === ServiceKind.Plain ? service.addresses : [],
  );
  const configuredAddresses = new Set([
    ...document.engines.map(({ address }) => address),
    ...serviceAddresses,
  ]);
  for (const info of context.board.routing.upstreams.values()) {
    if (!configuredAddresses.has(info.address) && info.ownInFlightCount === 0) {
      context.board.routing.upstreams.delete(info.address);
    }
  }
}

/** Applies a list that was read since the last probes, so that routing need not wait for the next round. */
export function applyNewMembershipList(context: CoreContext): void {
  const { membership, routing } = context.board;
  if (routing.appliedListReadAtMs !== membership.listReadAtMs) {
    applyMembershipList(context);
  }
}

export function isListedLeaving(context: CoreContext, address: string): boolean {
  const vms = [...context.board.membership.vms.values()];
  return vms.some((vm) => vm.address === address && vm.state === VmState.Leaving);
}

export function recordUpstreamSuccess(info: UpstreamInfo): void {
  info.consecutiveFailures = 0;
  info.consecutiveEjections = 0;
}

/** Ejects an upstream after consecutive failures, doubling the duration each time until it answers again. */
export function recordUpstreamFailure(
  context: Pick<CoreContext, 'clock' | 'options'>,
  info: UpstreamInfo,
): void {
  info.consecutiveFailures += 1;
  if (info.consecutiveFailures >= context.options.ejectAfterFailures) {
    const maxEjectionMs = context.options.ejectMs;
    const durationMs = Math.min(maxEjectionMs, INITIAL_EJECTION_MS * 2 ** info.consecutiveEjections);
    info.ejectedUntilMs = context.clock.monotonicMs + durationMs;
    info.consecutiveEjections += 1;
    // A single failure after the ejection ejects the upstream again.
    info.consecutiveFailures = context.options.ejectAfterFailures - 1;
  }
}

/** Excludes an upstream that is leaving from new work. */
export function markLeaving(context: CoreContext, info: UpstreamInfo): void {
  info.leaving = true;
  info.leavingSeenAtMs = context.clock.monotonicMs;
}

/** Ejects a plain service after a refused connection, for a limited time because services are not probed. */
export function ejectUpstream(context: CoreContext, info: UpstreamInfo): void {
  info.ejectedUntilMs = context.clock.monotonicMs + context.options.ejectMs;
}
