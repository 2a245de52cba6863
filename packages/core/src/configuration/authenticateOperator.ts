import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { readRows } from '../table/tableCalls.ts';
import type { AdminRequest } from '../types/events.ts';
import type { TableRow } from '../types/table.ts';
import { Verdict } from '../types/verdict.ts';
import type { AdminReply } from './adminReply.ts';
import { AdminReason, refused, storeUnavailable } from './adminReply.ts';
import { objectValue, operatorKey, stringField } from './storedRows.ts';
import type { Operator } from './types.ts';

/**
 * Looks up the operator of a key. While the store is unavailable, falls back to operators that were authenticated
 * before, because the status is needed most during an outage. Changes require the store in any case.
 */
export function* authenticateOperator(
  context: CoreContext,
  request: AdminRequest,
): Task<Result<Operator, AdminReply>> {
  const { keySha256 } = request;
  if (keySha256 === undefined) {
    return err(unauthenticated('Send "Authorization: Bearer KEY" with an operator key.'));
  }
  const { operators } = context.board;
  const rows = yield* readRows(context, [operatorKey(keySha256)]);
  const operator =
    rows === undefined ? operators.get(keySha256) : decodeOperator(rows.get(operatorKey(keySha256)));
  if (operator !== undefined) {
    operators.set(keySha256, operator);
    return ok(operator);
  }
  if (rows === undefined) {
    return err(storeUnavailable(Verdict.DidNotRun, 'The operator could not be looked up. Try again later.'));
  }
  operators.delete(keySha256);
  return err(unauthenticated('No operator has this key. Ask for it to be added.'));
}

function unauthenticated(detail: string): AdminReply {
  return refused({ status: 401, reason: AdminReason.Unauthenticated, detail });
}

function decodeOperator(row: TableRow | undefined): Operator | undefined {
  const value = objectValue(row);
  const operatorId = stringField(value, 'operatorId');
  const sections = value?.sections;
  return operatorId === undefined || !Array.isArray(sections)
    ? undefined
    : { operatorId, sections: sections.filter((name) => typeof name === 'string') };
}
