import type { Effect } from '@pimentostall/core';
import { EffectKind, RouterCore } from '@pimentostall/core';
import type { RouterSettings } from '@pimentostall/settings';
import { parseConfigurationSections } from '@pimentostall/settings';
import { CallerServer } from './callers/callerServer.ts';
import { readSystemClock } from './clock.ts';
import { createLogger } from './logs.ts';
import { DEFAULT_SHELL_OPTIONS } from './options.ts';
import { RouterLoop, SYSTEM_TIMERS } from './routerLoop.ts';
import { systemRandom } from './systemRandom.ts';

export interface RunningRouter {
  readonly callerAddress: string;
  stop(): Promise<void>;
}

/** Starts the caller side of a router around one core. */
export async function startRouter(settings: RouterSettings): Promise<RunningRouter> {
  const logger = createLogger(settings.logLevel, settings.identity.routerId);
  const core = new RouterCore({
    identity: settings.identity,
    random: systemRandom,
    clock: readSystemClock(),
    parseConfiguration: parseConfigurationSections,
    options: settings.options,
  });
  const execute = (effect: Effect): void => {
    if (effect.kind === EffectKind.CallerProblem) {
      callers.exchange(effect.exchangeId)?.endWithProblem(effect.problem);
    }
  };
  const { maxStepIntervalMs } = DEFAULT_SHELL_OPTIONS;
  const loop = new RouterLoop({
    core,
    readClock: readSystemClock,
    timers: SYSTEM_TIMERS,
    maxStepIntervalMs,
    logger,
    execute,
  });
  const callers = new CallerServer(loop, DEFAULT_SHELL_OPTIONS);
  const callerAddress = await callers.listen(settings.identity.callerAddress);
  loop.start();
  logger.info({ callerAddress }, 'The router is listening');
  return {
    callerAddress,
    stop: async () => {
      loop.stop();
      await callers.close();
    },
  };
}
