import type { CoreContext } from '../context.ts';
import { hash32 } from '../hash.ts';
import type { Task } from '../scheduler/task.ts';
import { commitTransaction, readRows } from '../table/tableCalls.ts';
import type { SectionName, StoredConfiguration, StoredSection } from '../types/configuration.ts';
import type { JsonValue, TableRow, TableTransaction } from '../types/table.ts';
import { ABSENT_ROW_VERSION, TableOutcomeKind } from '../types/table.ts';
import { Verdict } from '../types/verdict.ts';
import { activateConfiguration } from './activateConfiguration.ts';
import type { AdminReply } from './adminReply.ts';
import { accepted, AdminReason, refused, storeUnavailable } from './adminReply.ts';
import type { ConfigurationSnapshot } from './readStoredConfiguration.ts';
import { readConfigurationSnapshot } from './readStoredConfiguration.ts';
import {
  changeKey,
  encodeSection,
  historyKey,
  numberField,
  objectValue,
  REVISION_KEY,
  sectionKey,
  stringField,
} from './storedRows.ts';

/** A commit is retried after a concurrent change to another section and after a lost reply. */
const MAX_COMMIT_TRIES = 8;

/** A change to one section that an operator requested. */
export interface SectionChange {
  readonly name: SectionName;
  readonly text: string;
  readonly baseVersion: number;
  readonly changeId: string;
  readonly operatorId: string;
}

/**
 * Accepts or refuses a change. The same transaction writes a row under the change identifier, so that a duplicate
 * request, or a retry after a lost reply, returns the first result and no change is applied twice.
 */
export function* changeSection(context: CoreContext, change: SectionChange): Task<AdminReply> {
  let verdict = Verdict.DidNotRun;
  for (let tries = 0; tries < MAX_COMMIT_TRIES; tries += 1) {
    const rows = yield* readRows(context, [changeKey(change.changeId)]);
    if (rows === undefined) {
      continue;
    }
    const earlierChange = rows.get(changeKey(change.changeId));
    if (earlierChange !== undefined) {
      return replyToDuplicate(change, earlierChange);
    }
    const snapshot = yield* readConfigurationSnapshot(context);
    if (snapshot === undefined) {
      continue;
    }
    const next = applyChange(context, change, snapshot.stored);
    const refusal = checkChange(context, change, snapshot.stored, next);
    if (refusal !== undefined) {
      return withVerdict(refusal, verdict);
    }
    const outcome = yield* commitTransaction(context, createTransaction(change, snapshot, next));
    if (outcome.kind === TableOutcomeKind.Committed) {
      activateConfiguration(context, next);
      return accepted(acceptedBody(change, next));
    }
    if (outcome.kind === TableOutcomeKind.Unknown) {
      verdict = Verdict.MayHaveRun;
    }
  }
  return storeUnavailable(verdict, 'The store gave no answer. Repeat the change with the same identifier.');
}

/**
 * Sets the verdict of a refusal. A commit without a reply may still be applied after the read that did not find it,
 * so a later refusal must not report that the change did not run.
 */
function withVerdict(refusal: AdminReply, verdict: Verdict): AdminReply {
  return verdict === Verdict.DidNotRun
    ? refusal
    : { ...refusal, body: { ...(refusal.body as Readonly<Record<string, JsonValue>>), verdict } };
}

function replyToDuplicate(change: SectionChange, row: TableRow): AdminReply {
  const value = objectValue(row);
  const isSameChange =
    stringField(value, 'section') === change.name &&
    stringField(value, 'changedBy') === change.operatorId &&
    numberField(value, 'textHash') === hash32(change.text);
  return isSameChange
    ? accepted({ revision: value?.revision ?? 0, version: value?.version ?? 0 })
    : refused({
        status: 409,
        reason: AdminReason.ChangeIdentifierInUse,
        detail: `Change identifier "${change.changeId}" belongs to another change. Choose a new one.`,
      });
}

function findSection(stored: StoredConfiguration, name: SectionName): StoredSection | undefined {
  return stored.sections.find((section) => section.name === name);
}

function applyChange(
  context: CoreContext,
  change: SectionChange,
  stored: StoredConfiguration,
): StoredConfiguration {
  const { name, text, changeId, operatorId: changedBy } = change;
  const version = (findSection(stored, name)?.version ?? 0) + 1;
  const section = { name, version, text, changedBy, changedAtMs: context.clock.wallMs, changeId };
  const otherSections = stored.sections.filter((other) => other.name !== name);
  return { revision: stored.revision + 1, sections: [...otherSections, section] };
}

function checkChange(
  context: CoreContext,
  change: SectionChange,
  stored: StoredConfiguration,
  next: StoredConfiguration,
): AdminReply | undefined {
  const current = findSection(stored, change.name);
  if ((current?.version ?? 0) !== change.baseVersion) {
    return conflict(change, current);
  }
  const parsed = context.parseConfiguration(next.sections);
  if (parsed.isOk()) {
    return undefined;
  }
  const issues = parsed.error.map((issue) => ({ ...issue }));
  return refused({
    status: 422,
    reason: AdminReason.InvalidConfiguration,
    detail: `The document has ${issues.length} faults with this change. Correct them and apply it again.`,
    extraMembers: { faults: issues },
  });
}

function conflict(change: SectionChange, current: StoredSection | undefined): AdminReply {
  const version = current?.version ?? 0;
  const changedBy = current?.changedBy ?? '';
  const changedAtMs = current?.changedAtMs ?? 0;
  const changedAt = new Date(changedAtMs).toISOString();
  const currentState =
    current === undefined
      ? 'does not exist yet (version 0)'
      : `is at version ${version}, changed by ${changedBy} at ${changedAt}`;
  return refused({
    status: 409,
    reason: AdminReason.Conflict,
    detail: `Section ${change.name} ${currentState}, not at ${change.baseVersion}. Read it and apply the change to it.`,
    extraMembers: { version, changedBy, changedAtMs },
  });
}

function acceptedBody(
  change: SectionChange,
  next: StoredConfiguration,
): { revision: number; version: number } {
  return { revision: next.revision, version: findSection(next, change.name)?.version ?? 0 };
}

function createTransaction(
  change: SectionChange,
  snapshot: ConfigurationSnapshot,
  next: StoredConfiguration,
): TableTransaction {
  const { name, text, changeId, operatorId } = change;
  const key = sectionKey(name);
  const acceptedValue = acceptedBody(change, next);
  const sectionValue = next.sections.filter((section) => section.name === name).map(encodeSection)[0];
  const changeValue = { ...acceptedValue, section: name, changedBy: operatorId, textHash: hash32(text) };
  return {
    checks: [
      { key: REVISION_KEY, expectedVersion: snapshot.revisionRowVersion },
      { key, expectedVersion: snapshot.sectionRowVersions.get(key) ?? ABSENT_ROW_VERSION },
      { key: changeKey(changeId), expectedVersion: ABSENT_ROW_VERSION },
    ],
    writes: [
      { key: REVISION_KEY, value: { revision: next.revision } },
      { key, value: sectionValue },
      { key: changeKey(changeId), value: changeValue },
      { key: historyKey(name, acceptedValue.version), value: sectionValue },
    ],
  };
}
