import type { UpstreamView } from './upstreamView.ts';

/** Failures within this time can have one cause. */
const COMMON_CAUSE_MS = 3_000;
/** Engines that must have failed before the others of their zone are taken for unresponsive as well. */
const MIN_FAILED = 2;

/**
 * Returns the other upstreams of the service and zone of one that did not respond, if the zone as a whole has probably
 * failed: two of them did not respond, none has since the first of these failures, and the failures are confined to the
 * zone. Answers the load of a zone that fails and comes back while a router is without the store: in a large fleet a
 * router sends so few requests to each engine that it does not find out one by one, and its requests would meet engines
 * that are cold.
 */
export function upstreamsOfFailedZone(
  failed: UpstreamView,
  upstreams: Iterable<UpstreamView>,
  nowMs: number,
): UpstreamView[] {
  const { availabilityZone, serviceName } = failed.entry;
  const ofZone: UpstreamView[] = [];
  let failedCount = 0;
  let firstFailureAtMs = Infinity;
  let otherZonesProgressAtMs = -Infinity;
  let otherZonesFailureAtMs = -Infinity;
  for (const upstream of upstreams) {
    if (upstream.entry.availabilityZone !== availabilityZone) {
      otherZonesProgressAtMs = Math.max(otherZonesProgressAtMs, upstream.lastProgressAtMs);
      otherZonesFailureAtMs = Math.max(otherZonesFailureAtMs, upstream.unresponsiveAtMs);
    } else if (upstream.entry.serviceName === serviceName) {
      ofZone.push(upstream);
      if (nowMs - upstream.unresponsiveAtMs <= COMMON_CAUSE_MS) {
        failedCount += 1;
        firstFailureAtMs = Math.min(firstFailureAtMs, upstream.unresponsiveAtMs);
      }
    }
  }
  // With failures and without progress elsewhere, the link of this router has failed.
  const isConfined =
    otherZonesProgressAtMs > firstFailureAtMs || nowMs - otherZonesFailureAtMs > COMMON_CAUSE_MS;
  const isZoneFailure =
    failedCount >= MIN_FAILED &&
    isConfined &&
    ofZone.every(({ lastProgressAtMs }) => lastProgressAtMs <= firstFailureAtMs);
  return isZoneFailure ? ofZone.filter((upstream) => !upstream.isUnresponsive(nowMs)) : [];
}
