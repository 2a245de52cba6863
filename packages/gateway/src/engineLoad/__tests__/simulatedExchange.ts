import type { GatewayContext } from '../../context.ts';
import { GatewayMetrics } from '../../observability/metrics.ts';
import { createOptions } from '../../options.ts';
import { TaskLoop } from '../../runtime/taskLoop.ts';
import type { GatewayConfiguration } from '../../types.ts';
import { recordLoadChange } from '../engineLoadState.ts';
import { LoadExchange, receiveLoads } from '../exchangeLoads.ts';
import type { EngineLoadContext } from '../engineLoadState.ts';
import type { EngineLoadOptions } from '../options.ts';
import { DEFAULT_ENGINE_LOAD } from '../options.ts';
import type { LoadPort } from '../types.ts';
import type { SimulatedRouter, SimulatedSite } from './simulatedSite.ts';
import { SERVICE } from './simulatedSite.ts';

/** Time after which a message without a reply counts as lost. */
const TIMEOUT_MS = 250;

const CONFIGURATION: GatewayConfiguration = {
  version: 1,
  routes: [],
  services: new Map([
    [
      SERVICE,
      {
        name: SERVICE,
        maxConnections: 400,
        warmup: undefined,
        engine: { slots: 64, kvCapacityTokens: 300_000, tokensPerEvent: 4, maxCacheFollowers: 8 },
      },
    ],
  ]),
  organisations: new Map(),
  requiresKeys: false,
  limits: { maxHeaderBytes: 1_024, maxBodyBytes: 1_024, headerTimeoutMs: 1_000, idleTimeoutMs: 1_000 },
};

interface ExchangingRouter {
  readonly router: SimulatedRouter;
  readonly context: EngineLoadContext;
}

/** Runs the exchange of loads between the routers of a simulated site. */
export class SimulatedExchange {
  /** Number of posts and of messages between collectors. */
  messageCount = 0;
  /** Routers that neither send nor receive messages. */
  readonly deadRouters = new Set<string>();
  /** Whether messages between two routers are lost. */
  isCut: (fromId: string, toId: string) => boolean = () => false;
  readonly logLines: { readonly routerId: string; readonly message: string }[] = [];
  /** Messages that each router received. */
  readonly receivedCount = new Map<string, number>();
  private readonly routers = new Map<string, ExchangingRouter>();

  constructor(
    private readonly site: SimulatedSite,
    options: Partial<EngineLoadOptions> = {},
  ) {
    for (const router of site.routers) {
      const context = this.createContext(router);
      this.routers.set(router.self.routerId, { router, context });
      router.board.configuration = CONFIGURATION;
      router.onChange = (view, changedTokens) => {
        recordLoadChange(context, view, changedTokens);
      };
      const exchange = new LoadExchange(context, this.portOf(router), { ...DEFAULT_ENGINE_LOAD, ...options });
      context.loop.spawn('loads', exchange.run());
    }
  }

  contextOf(routerId: string): EngineLoadContext | undefined {
    return this.routers.get(routerId)?.context;
  }

  /** The metrics of each router. */
  metricsTexts(): string[] {
    return [...this.routers.values()].map(({ context }) => context.metrics.prometheusText());
  }

  private createContext(router: SimulatedRouter): EngineLoadContext {
    const { events } = this.site;
    const log: GatewayContext['log'] = (_level, message) => {
      this.logLines.push({ routerId: router.self.routerId, message });
    };
    return {
      board: router.board,
      loop: new TaskLoop(
        {
          nowMs: () => events.nowMs,
          startTimer: (delayMs, run) => events.schedule(delayMs + 3 * this.site.random(), run),
        },
        (task, cause) => {
          throw new Error(`task ${task} failed`, { cause });
        },
      ),
      options: createOptions()._unsafeUnwrap(),
      self: router.self,
      log,
      metrics: new GatewayMetrics(),
    };
  }

  private portOf({ self }: SimulatedRouter): LoadPort {
    const { events } = this.site;
    return {
      post: (peer, message) =>
        new Promise((resolve) => {
          this.messageCount += 1;
          const target = this.routers.get(peer.routerId);
          events.schedule(TIMEOUT_MS, () => {
            resolve(undefined);
          });
          events.schedule(this.site.delayMs(self.availabilityZone, peer.availabilityZone), () => {
            if (target === undefined || this.isLost(self.routerId, peer.routerId)) {
              return;
            }
            this.receivedCount.set(peer.routerId, (this.receivedCount.get(peer.routerId) ?? 0) + 1);
            const reply = receiveLoads(target.context, message);
            events.schedule(this.site.delayMs(peer.availabilityZone, self.availabilityZone), () => {
              if (!this.isLost(peer.routerId, self.routerId)) {
                resolve(reply);
              }
            });
          });
        }),
    };
  }

  private isLost(fromId: string, toId: string): boolean {
    return this.deadRouters.has(fromId) || this.deadRouters.has(toId) || this.isCut(fromId, toId);
  }
}
