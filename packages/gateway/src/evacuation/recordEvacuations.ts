import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { ColdSource, recordCold, warmupMsOf } from '../placement/coldUpstreams.ts';
import type { UpstreamView } from '../placement/upstreamView.ts';
import type { EvacuationReading } from './evacuationState.ts';

/**
 * Records a reading of the evacuated zones. Returns whether the set has changed, or is known for the first time. A
 * reading that is not newer than the current one changes nothing, since relays may lag behind this router.
 *
 * Answers the load of a zone that the operator takes out of use: requests that wait for a connection there go elsewhere
 * at once, those that run there continue, and the engines count as cold when the zone is used again.
 */
export function recordEvacuations(context: GatewayContext, reading: EvacuationReading): boolean {
  const state = context.board.evacuations;
  if (state.reading !== undefined && reading.version <= state.reading.version) {
    return false;
  }
  const isFirst = state.reading === undefined;
  const previous = state.zones;
  const zones = new Set(reading.zones);
  const begun = [...zones].filter((zone) => !previous.has(zone));
  const ended = [...previous].filter((zone) => !zones.has(zone));
  state.reading = reading;
  if (!isFirst && begun.length === 0 && ended.length === 0) {
    return false;
  }
  // Set before any request is withdrawn, since withdrawn requests are placed again immediately.
  state.zones = zones;
  state.changedVersion = reading.version;
  for (const zone of begun) {
    beginEvacuation(context, zone, reading.version);
  }
  for (const zone of ended) {
    endEvacuation(context, zone, reading.version);
  }
  return true;
}

/** Notes that an attempt has ended; logs the end of the last one in an evacuated zone. */
export function recordAttemptEnd({ board, log, loop }: GatewayContext, view: UpstreamView): void {
  const { clearings } = board.evacuations;
  if (clearings.size === 0 || view.inFlight > 0) {
    return;
  }
  const zone = view.entry.availabilityZone;
  const clearing = clearings.get(zone);
  if (clearing?.busyUpstreams.delete(view) === true && clearing.busyUpstreams.size === 0) {
    clearings.delete(zone);
    log(LogLevel.Info, 'last request in evacuated zone ended', {
      zone,
      elapsedMs: Math.round(loop.nowMs() - clearing.startedAtMs),
    });
  }
}

function beginEvacuation(context: GatewayContext, zone: string, version: number): void {
  const { board, location, log, loop, metrics } = context;
  const upstreams = upstreamsOf(context, zone);
  const busyUpstreams = new Set(upstreams.filter(({ inFlight }) => inFlight > 0));
  const waitingAttempts = upstreams.reduce((sum, { unsentAttempts }) => sum + unsentAttempts.size, 0);
  const region = location.regionOf(zone);
  log(LogLevel.Info, 'zone evacuated', {
    zone,
    region,
    isOwnZone: zone === location.availabilityZone,
    version,
    upstreams: upstreams.length,
    runningAttempts: upstreams.reduce((sum, { inFlight }) => sum + inFlight, 0) - waitingAttempts,
    waitingAttempts,
  });
  if (region === undefined) {
    log(LogLevel.Warn, 'evacuated zone is not a zone of this deployment; check its name', { zone, version });
  }
  metrics.count('pimentostall_zone_evacuations_total', `zone=${JSON.stringify(zone)},event="begun"`);
  if (waitingAttempts > 0) {
    metrics.count(
      'pimentostall_attempts_withdrawn_by_evacuation_total',
      `zone=${JSON.stringify(zone)}`,
      waitingAttempts,
    );
  }
  if (busyUpstreams.size > 0) {
    board.evacuations.clearings.set(zone, { startedAtMs: loop.nowMs(), busyUpstreams });
  }
  for (const upstream of upstreams) {
    upstream.withdrawUnsentAttempts();
  }
}

function endEvacuation(context: GatewayContext, zone: string, version: number): void {
  const { board, log, loop, metrics } = context;
  const upstreams = upstreamsOf(context, zone);
  const wasCleared = !board.evacuations.clearings.delete(zone);
  for (const upstream of upstreams) {
    const warmupMs = warmupMsOf(context, upstream.entry.serviceName);
    if (warmupMs !== undefined) {
      recordCold(context, upstream, loop.nowMs() + warmupMs, ColdSource.EvacuationEnd);
    }
  }
  log(LogLevel.Info, 'evacuation cancelled', { zone, version, upstreams: upstreams.length, wasCleared });
  metrics.count('pimentostall_zone_evacuations_total', `zone=${JSON.stringify(zone)},event="cancelled"`);
}

function upstreamsOf({ board }: GatewayContext, zone: string): UpstreamView[] {
  return [...board.upstreams.values()].filter(({ entry }) => entry.availabilityZone === zone);
}
