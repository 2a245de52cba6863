import {
  adoptUsage,
  completeReservation,
  findRecords,
  replicateReservation,
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
    money: {
      reserve,
      replicateReservation,
      completeReservation,
      releaseReservation,
      findRecords,
      adoptUsage,
    },
  };
}
