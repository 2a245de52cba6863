import { configurationController } from './configuration/configurationController.ts';
import { liveStateController } from './configuration/liveStateController.ts';
import type { CoreContext } from './context.ts';
import { drainController } from './drain/drainController.ts';
import { heartbeatController } from './membership/heartbeatController.ts';
import { membershipController } from './membership/membershipController.ts';
import { startMoneyControllers } from './money/startMoneyControllers.ts';
import { ordersController } from './orders/ordersController.ts';
import { probeController } from './routing/probeController.ts';

/** Starts the tasks that run for the lifetime of the router. */
export function startControllers(context: CoreContext): void {
  context.spawn('configuration', configurationController(context));
  context.spawn('liveState', liveStateController(context));
  context.spawn('membership', membershipController(context));
  context.spawn('heartbeat', heartbeatController(context));
  context.spawn('probe', probeController(context));
  context.spawn('orders', ordersController(context));
  context.spawn('drain', drainController(context));
  startMoneyControllers(context);
}
