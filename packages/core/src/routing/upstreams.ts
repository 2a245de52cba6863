import type { CoreContext } from '../context.ts';
import { ServiceKind } from '../types/configuration.ts';
import { VmRole, VmState } from '../types/membership.ts';
import { createUpstreamInfo } from './createUpstreamInfo.ts';
import type { UpstreamInfo } from './types.ts';

/** Failures often end within a second; ejecting for 10 s at once cost a third of the capacity in bench:overload. */
const FIRST_EJECTION_MS = 500;

/** The knowledge of one upstream, created at the first look. */
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
 * Applies the membership list: a listed upstream that leaves gets no new work. Plain services are not probed, so
 * the list alone also takes their sign back, when a new VM has the address.
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

/** Forgets upstreams that the configuration no longer names, which bounds the memory over many replacements. */
export function forgetRemovedUpstreams(context: CoreContext): void {
  const document = context.board.configuration?.document;
  if (document === undefined) {
    return;
  }
  const serviceAddresses = document.services.flatMap((service) =>
    service.kind === ServiceKind.Plain ? service.addresses : [],
  );
  const named = new Set([...document.engines.map(({ address }) => address), ...serviceAddresses]);
  for (const info of context.board.routing.upstreams.values()) {
    if (!named.has(info.address) && info.ownInFlightCount === 0) {
      context.board.routing.upstreams.delete(info.address);
    }
  }
}

/** Applies a list that was read since the last probes, so that a choice need not wait for the next ones. */
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
  info.ejectionsInRow = 0;
}

/** Ejects an upstream after several failures in a row, for twice as long each time until it answers again. */
export function recordUpstreamFailure(
  context: Pick<CoreContext, 'clock' | 'options'>,
  info: UpstreamInfo,
): void {
  info.consecutiveFailures += 1;
  if (info.consecutiveFailures >= context.options.ejectAfterFailures) {
    const longestMs = context.options.ejectMs;
    const durationMs = Math.min(longestMs, FIRST_EJECTION_MS * 2 ** info.ejectionsInRow);
    info.ejectedUntilMs = context.clock.monotonicMs + durationMs;
    info.ejectionsInRow += 1;
    // One more failure after the ejection ejects again.
    info.consecutiveFailures = context.options.ejectAfterFailures - 1;
  }
}

/** Excludes an upstream from new work at a sign that it leaves. */
export function markLeaving(context: CoreContext, info: UpstreamInfo): void {
  info.leaving = true;
  info.leavingSeenAtMs = context.clock.monotonicMs;
}

/** Plain services are not probed, so a refused connection excludes one for a limited time only. */
export function ejectUpstream(context: CoreContext, info: UpstreamInfo): void {
  info.ejectedUntilMs = context.clock.monotonicMs + context.options.ejectMs;
}
