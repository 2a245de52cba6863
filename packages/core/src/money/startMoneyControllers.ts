import type { CoreContext } from '../context.ts';
import { moneyController } from './moneyController.ts';
import { routerRowController } from './routerRow.ts';

/** Starts the tasks that draw, settle, return and reclaim shares. */
export function startMoneyControllers(context: CoreContext): void {
  context.spawn('routerRow', routerRowController(context));
  context.spawn('money', moneyController(context));
}
