import type { Effect, ClockReading } from '@pimentostall/core';
import { EffectKind } from '@pimentostall/core';
import type { MetricsRegistry } from '@pimentostall/metrics';
import type { Logger } from 'pino';
import type { AdminServer } from './administration/adminServer.ts';
import type { CallerExchange } from './callers/callerExchange.ts';
import type { CallerServer } from './callers/callerServer.ts';
import type { PeerAdapter } from './peers/peerAdapter.ts';
import type { PlatformAdapter } from './platform/platformAdapter.ts';
import type { UpstreamAdapter } from './upstreams/upstreamAdapter.ts';

export interface Adapters {
  readonly callers: CallerServer;
  readonly upstreams: UpstreamAdapter;
  readonly platform: PlatformAdapter;
  readonly peers: PeerAdapter;
  readonly administration: AdminServer;
  readonly metrics: MetricsRegistry;
  readonly logger: Logger;
  readonly exit: () => void;
}

/**
 * If a write fails, the connection is closed, so that the caller does not mistake the response for complete.
 */
function withExchange(
  adapters: Adapters,
  exchangeId: string,
  write: (exchange: CallerExchange) => void,
): void {
  const exchange = adapters.callers.findExchange(exchangeId);
  if (exchange === undefined) {
    return;
  }
  try {
    write(exchange);
  } catch (cause) {
    exchange.destroy();
    throw cause;
  }
}

/** Passes an effect to its adapter. `steppedAt` is the clock reading of the step that emitted it. */
export function executeEffect(adapters: Adapters, effect: Effect, steppedAt: ClockReading): void {
  switch (effect.kind) {
    case EffectKind.TableRead:
      adapters.platform.read(effect);
      return;
    case EffectKind.TableScan:
      adapters.platform.scan(effect);
      return;
    case EffectKind.TableCommit:
      adapters.platform.commit(effect);
      return;
    case EffectKind.MembershipRead:
      adapters.platform.members(effect);
      return;
    case EffectKind.PeerSend:
      adapters.peers.send(effect.peerAddress, effect.message);
      return;
    case EffectKind.UpstreamOpen:
      adapters.upstreams.open(effect, steppedAt);
      return;
    case EffectKind.UpstreamCancel:
      adapters.upstreams.cancel(effect);
      return;
    case EffectKind.UpstreamProbe:
      adapters.upstreams.probe(effect);
      return;
    case EffectKind.EngineOrder:
      adapters.upstreams.order(effect, steppedAt);
      return;
    case EffectKind.EngineModelsRead:
      adapters.upstreams.readModels(effect);
      return;
    case EffectKind.CallerStart:
      withExchange(adapters, effect.exchangeId, (exchange) => {
        exchange.start(effect.status, effect.headers);
      });
      return;
    case EffectKind.CallerChunk:
      withExchange(adapters, effect.exchangeId, (exchange) => {
        exchange.write(effect.data);
      });
      return;
    case EffectKind.CallerEnd:
      withExchange(adapters, effect.exchangeId, (exchange) => {
        exchange.end(effect.data);
      });
      return;
    case EffectKind.CallerProblem:
      withExchange(adapters, effect.exchangeId, (exchange) => {
        exchange.endWithProblem(effect.problem);
      });
      return;
    case EffectKind.AdminReply:
      adapters.administration.reply(effect.exchangeId, effect.status, effect.body);
      return;
    case EffectKind.Log:
      adapters.logger[effect.level](effect.fields, effect.message);
      return;
    case EffectKind.Metric:
      adapters.metrics.record(effect);
      return;
    case EffectKind.Exit:
      adapters.exit();
      return;
  }
}
