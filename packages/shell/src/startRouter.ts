import type { PeerSender } from '@pimentostall/core';
import { DEFAULT_CORE_OPTIONS, EventKind, RouterCore } from '@pimentostall/core';
import { MetricsRegistry } from '@pimentostall/metrics';
import type { RouterSettings } from '@pimentostall/settings';
import { parseConfigurationSections } from '@pimentostall/settings';
import type { Logger } from 'pino';
import { createAddressResolver } from './addresses.ts';
import { AdminServer } from './administration/adminServer.ts';
import { CallerServer } from './callers/callerServer.ts';
import { readSystemClock } from './clock.ts';
import type { Adapters } from './executeEffect.ts';
import { executeEffect } from './executeEffect.ts';
import { createLogger } from './logger.ts';
import type { ShellOptions } from './options.ts';
import { completeShellOptions } from './options.ts';
import { PeerAdapter } from './peers/peerAdapter.ts';
import { PlatformAdapter } from './platform/platformAdapter.ts';
import { RouterLoop, SYSTEM_TIMERS } from './routerLoop.ts';
import { systemRandom } from './systemRandom.ts';
import { UpstreamAdapter } from './upstreams/upstreamAdapter.ts';

/** Addresses as bound: settings with port 0 get a free port. */
interface BoundAddresses {
  readonly callerAddress: string;
  readonly peerAddress: string;
  readonly adminAddress: string;
}

export interface RunningRouter extends BoundAddresses {
  readonly logger: Logger;
  /** Asks the core to drain; `exited` resolves when it has and the adapters are closed. */
  requestStop(): void;
  readonly exited: Promise<void>;
}

function createCore(settings: RouterSettings): RouterCore {
  return new RouterCore({
    identity: settings.identity,
    random: systemRandom,
    clock: readSystemClock(),
    parseConfiguration: parseConfigurationSections,
    options: settings.options,
  });
}

function createSender(core: RouterCore): PeerSender {
  const { identity, incarnationId } = core.board;
  const { routerId, vmId, region, availabilityZone, peerAddress } = identity;
  return { routerId, vmId, incarnationId, region, availabilityZone, peerAddress };
}

function createAdapters(
  settings: RouterSettings,
  core: RouterCore,
  loop: RouterLoop,
  options: ShellOptions,
  base: Pick<Adapters, 'logger' | 'exit'>,
): Adapters {
  const resolveAddress = createAddressResolver(settings.addressOverrides);
  const metrics = new MetricsRegistry();
  const callers = new CallerServer(loop, options);
  return {
    ...base,
    metrics,
    callers,
    upstreams: new UpstreamAdapter({
      sink: loop,
      options,
      readClock: readSystemClock,
      pauseLimitMs: settings.options.pauseLimitMs ?? DEFAULT_CORE_OPTIONS.pauseLimitMs,
      resolveAddress,
      waitForCaller: (exchangeId) =>
        callers.findExchange(exchangeId)?.waitUntilWritable() ?? Promise.resolve(),
    }),
    platform: new PlatformAdapter(loop, options, resolveAddress(settings.platformAddress)),
    peers: new PeerAdapter({
      sink: loop,
      options,
      logger: base.logger,
      resolveAddress,
      sender: () => createSender(core),
    }),
    administration: new AdminServer(loop, options, () => metrics.prometheusText()),
  };
}

async function closeAdapters(adapters: Adapters): Promise<void> {
  await Promise.all([
    adapters.peers.close(),
    adapters.callers.close(),
    adapters.administration.close(),
    adapters.upstreams.close(),
    adapters.platform.close(),
  ]);
}

/** Binds all addresses. If one fails, the others are closed, so that the process can exit. */
async function listenAll(settings: RouterSettings, adapters: Adapters): Promise<BoundAddresses> {
  try {
    return {
      callerAddress: await adapters.callers.listen(settings.identity.callerAddress),
      peerAddress: await adapters.peers.listen(settings.identity.peerAddress),
      adminAddress: await adapters.administration.listen(settings.adminAddress),
    };
  } catch (cause) {
    await closeAdapters(adapters);
    const detail = cause instanceof Error ? cause.message : String(cause);
    throw new Error(`${detail}; configure free addresses of this VM in the settings`, { cause });
  }
}

/** Starts a router: one core, its loop and all adapters. Rejects if an address cannot be bound. */
export async function startRouter(
  settings: RouterSettings,
  shellOptions: Partial<ShellOptions> = {},
): Promise<RunningRouter> {
  const { identity } = settings;
  const options = completeShellOptions(shellOptions)._unsafeUnwrap();
  const logger = createLogger(settings.logLevel, identity.routerId);
  const core = createCore(settings);
  let resolveExited = (): void => undefined;
  const exited = new Promise<void>((resolve) => {
    resolveExited = resolve;
  });
  const loop: RouterLoop = new RouterLoop({
    core,
    readClock: readSystemClock,
    timers: SYSTEM_TIMERS,
    maxStepIntervalMs: options.maxStepIntervalMs,
    logger,
    execute: (effect, steppedAt) => {
      executeEffect(adapters, effect, steppedAt);
    },
  });
  const exit = (): void => {
    loop.stop();
    void closeAdapters(adapters).then(resolveExited);
  };
  const adapters: Adapters = createAdapters(settings, core, loop, options, { logger, exit });
  const addresses = await listenAll(settings, adapters);
  loop.start();
  logger.info(addresses, 'The router is listening');
  const requestStop = (): void => {
    loop.submit({ kind: EventKind.StopRequested });
  };
  return { logger, ...addresses, requestStop, exited };
}
