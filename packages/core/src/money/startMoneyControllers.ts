import type { CoreContext } from '../context.ts';
import { heldController } from './heldController.ts';
import { moneyController } from './moneyController.ts';
import { orphanController } from './orphanController.ts';
import { reclaimController } from './reclaimController.ts';
import { routerRowController } from './routerRow.ts';

/** Spawns the controllers that draw, settle, return and reclaim shares. */
export function startMoneyControllers(context: CoreContext): void {
  context.spawn('routerRow', routerRowController(context));
  context.spawn('money', moneyController(context));
  context.spawn('orphans', orphanController(context));
  context.spawn('reclaim', reclaimController(context));
  context.spawn('held', heldController(context));
}
