import type { CoreContext } from '../context.ts';
import { awaitReply } from '../context.ts';
import { wakeQueuedRequests } from '../requests/classQueue.ts';
import type { Task } from '../scheduler/task.ts';
import { receive } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { EngineLoad } from '../types/requests.ts';
import {
  removeUnconfiguredUpstreams,
  isListedLeaving,
  markLeaving,
  applyMembershipList,
  getOrCreateUpstreamInfo,
} from './upstreams.ts';

/**
 * Limits probes to about 7 KB/s, at two intervals per second and about 300 bytes per probe, within the
 * 12 KB/s that a node may use for control traffic. Up to 12 engines are all probed in each interval.
 */
const MAX_PROBES_PER_INTERVAL = 12;

/** Periodically probes the load of the configured engines, in round-robin order if there are many. */
export function* probeController(context: CoreContext): Task<void> {
  for (let firstIndex = 0; ; firstIndex += MAX_PROBES_PER_INTERVAL) {
    applyMembershipList(context);
    removeUnconfiguredUpstreams(context);
    const engines = context.board.configuration?.document.engines ?? [];
    const probeCount = Math.min(engines.length, MAX_PROBES_PER_INTERVAL);
    for (let offset = 0; offset < probeCount; offset += 1) {
      const engine = engines[(firstIndex + offset) % engines.length];
      if (engine !== undefined) {
        context.spawn('probeEngine', probeEngine(context, engine.address));
      }
    }
    const { probeRequests } = context.board.routing;
    yield* receive(probeRequests, context.clock.monotonicMs + context.options.probeIntervalMs);
  }
}

function* probeEngine(context: CoreContext, address: string): Task<void> {
  const callId = context.newId();
  context.emit({ kind: EffectKind.UpstreamProbe, callId, address });
  const deadlineMs = context.clock.monotonicMs + context.options.probeIntervalMs;
  const reply = yield* awaitReply(context.board.replyChannels.probes, callId, deadlineMs);
  if (reply?.load !== undefined) {
    applyLoad(context, address, reply.load);
  }
}

/**
 * Applies a load report. It clears the leaving flag only if it is newer than the last indication that the
 * engine is leaving and the membership list no longer says so. Reports lag, so an older one proves nothing.
 */
function applyLoad(context: CoreContext, address: string, load: EngineLoad): void {
  const info = getOrCreateUpstreamInfo(context, address);
  info.load = load;
  info.loadReadAtMs = context.clock.monotonicMs;
  if (load.leaving || isListedLeaving(context, address)) {
    markLeaving(context, info);
  } else if (context.clock.monotonicMs - load.ageMs > info.leavingSeenAtMs) {
    info.leaving = false;
  }
  info.prefixes.add(load.cachedPrefixHashes);
  wakeQueuedRequests(context);
}
