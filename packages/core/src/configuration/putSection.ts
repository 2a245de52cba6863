import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import type { AdminRequest } from '../types/events.ts';
import type { AdminReply } from './adminReply.ts';
import { AdminReason, malformed, notFound, refused } from './adminReply.ts';
import { changeSection } from './changeSection.ts';
import { parseSectionName } from './storedRows.ts';
import type { Operator } from './types.ts';

/** Change identifiers are part of a row key, so their characters and length are restricted. */
const CHANGE_ID_PATTERN = /^[A-Za-z0-9._-]{1,100}$/;
const VERSION_PATTERN = /^\d{1,15}$/;

/** Validates the parameters and the operator's permission before the change accesses the store. */
export function* putSection(
  context: CoreContext,
  operator: Operator,
  request: AdminRequest,
  sectionName: string,
): Task<AdminReply> {
  const name = parseSectionName(sectionName);
  const { baseVersion = '', changeId = '' } = request.query;
  if (name === undefined) {
    return notFound(`There is no section "${sectionName}".`);
  }
  if (!operator.sections.includes(name)) {
    const detail = `Operator ${operator.operatorId} may change: ${operator.sections.join(', ')}.`;
    return refused({ status: 403, reason: AdminReason.Forbidden, detail });
  }
  if (!VERSION_PATTERN.test(baseVersion)) {
    return malformed('Query parameter baseVersion must be the version that the change is based on.');
  }
  if (!CHANGE_ID_PATTERN.test(changeId)) {
    return malformed('Query parameter changeId must be 1 to 100 letters, digits, ".", "_" or "-".');
  }
  const { operatorId } = operator;
  return yield* changeSection(context, {
    name,
    text: request.body,
    baseVersion: Number(baseVersion),
    changeId,
    operatorId,
  });
}
