import {
  adoptUsage,
  completeReservation,
  findRecords,
  protectReservation,
  releaseReservation,
} from '../money/reservations.ts';
import { reserve } from '../money/reserve.ts';
import { createQueueState } from './classQueue.ts';
import { createRetryBudget } from './retryBudget.ts';
import type { RequestState } from './types.ts';

export function createRequestState(): RequestState {
  return {
    running: new Map(),
    answered: new Map(),
    queue: createQueueState(),
    retryBudget: createRetryBudget(),
    money: { reserve, protectReservation, completeReservation, releaseReservation, findRecords, adoptUsage },
  };
}
