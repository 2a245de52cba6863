import type { CoreContext } from '../context.ts';
import { awaitReply } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { EffectKind } from '../types/effects.ts';
import type { EngineModels, EngineOrder } from '../types/orders.ts';
import { EngineOrderOutcome } from '../types/orders.ts';

/** Sends an order to an engine; the outcome is `Unknown` if there is no answer in time. */
export function* sendOrder(
  context: CoreContext,
  address: string,
  order: EngineOrder,
): Task<EngineOrderOutcome> {
  const callId = context.newId();
  context.emit({ kind: EffectKind.EngineOrder, callId, address, order });
  const deadlineMs = context.clock.monotonicMs + context.options.orderIntervalMs;
  const { engineOrders } = context.board.replyChannels;
  const reply = yield* awaitReply(engineOrders, callId, deadlineMs);
  return reply?.outcome ?? EngineOrderOutcome.Unknown;
}

/** Reads the states of the models of an engine; undefined if it does not answer in time. */
export function* readModels(context: CoreContext, address: string): Task<EngineModels | undefined> {
  const callId = context.newId();
  context.emit({ kind: EffectKind.EngineModelsRead, callId, address });
  const deadlineMs = context.clock.monotonicMs + context.options.orderIntervalMs;
  const { engineModels } = context.board.replyChannels;
  const reply = yield* awaitReply(engineModels, callId, deadlineMs);
  return reply?.models;
}
