import type { CoreContext } from '../context.ts';
import { hash32 } from '../hash.ts';
import type { Task } from '../scheduler/task.ts';
import { commitTransaction, readRows } from '../table/tableCalls.ts';
import type { SectionName, StoredConfiguration, StoredSection } from '../types/configuration.ts';
import type { JsonValue, TableRow, TableTransaction } from '../types/table.ts';
import { ABSENT_ROW_VERSION, TableOutcomeKind } from '../types/table.ts';
import { Verdict } from '../types/verdict.ts';
import { takeConfiguration } from './activateConfiguration.ts';
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

/** Changes to other sections in the same moment make a commit start again; so does a lost answer. */
const MAX_TRIES = 8;

/** One change of one section, as an operator asks for it. */
export interface SectionChange {
  readonly name: SectionName;
  readonly text: string;
  readonly baseVersion: number;
  readonly changeId: string;
  readonly operatorId: string;
}

/**
 * Accepts or refuses a change. The row of its change identifier is written by the same transaction, so a repeat
 * and a commit whose answer was lost find the first answer there and nothing is applied twice.
 */
export function* changeSection(context: CoreContext, change: SectionChange): Task<AdminReply> {
  let verdict = Verdict.DidNotRun;
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const rows = yield* readRows(context, [changeKey(change.changeId)]);
    if (rows === undefined) {
      continue;
    }
    const earlier = rows.get(changeKey(change.changeId));
    if (earlier !== undefined) {
      return repeatAnswer(change, earlier);
    }
    const snapshot = yield* readConfigurationSnapshot(context);
    if (snapshot === undefined) {
      continue;
    }
    const next = applyChange(context, change, snapshot.stored);
    const refusal = checkChange(context, change, snapshot.stored, next);
    if (refusal !== undefined) {
      return withUncertainty(refusal, verdict);
    }
    const outcome = yield* commitTransaction(context, createTransaction(change, snapshot, next));
    if (outcome.kind === TableOutcomeKind.Committed) {
      takeConfiguration(context, next);
      return accepted(answerOf(change, next));
    }
    if (outcome.kind === TableOutcomeKind.Unknown) {
      verdict = Verdict.MayHaveRun;
    }
  }
  return storeUnavailable(verdict, 'The store gave no answer. Repeat the change with the same identifier.');
}

/**
 * A commit without an answer may still take effect later, after the read that did not find it. A refusal that
 * follows it must not claim that nothing ran.
 */
function withUncertainty(refusal: AdminReply, verdict: Verdict): AdminReply {
  return verdict === Verdict.DidNotRun
    ? refusal
    : { ...refusal, body: { ...(refusal.body as Readonly<Record<string, JsonValue>>), verdict } };
}

function repeatAnswer(change: SectionChange, row: TableRow): AdminReply {
  const value = objectValue(row);
  const same =
    stringField(value, 'section') === change.name &&
    stringField(value, 'changedBy') === change.operatorId &&
    numberField(value, 'textHash') === hash32(change.text);
  return same
    ? accepted({ revision: value?.revision ?? 0, version: value?.version ?? 0 })
    : refused({
        status: 409,
        reason: AdminReason.ChangeIdentifierInUse,
        detail: `Change identifier "${change.changeId}" belongs to another change. Choose a new one.`,
      });
}

function sectionOf(stored: StoredConfiguration, name: SectionName): StoredSection | undefined {
  return stored.sections.find((section) => section.name === name);
}

function applyChange(
  context: CoreContext,
  change: SectionChange,
  stored: StoredConfiguration,
): StoredConfiguration {
  const { name, text, changeId, operatorId: changedBy } = change;
  const version = (sectionOf(stored, name)?.version ?? 0) + 1;
  const section = { name, version, text, changedBy, changedAtMs: context.clock.wallMs, changeId };
  const others = stored.sections.filter((other) => other.name !== name);
  return { revision: stored.revision + 1, sections: [...others, section] };
}

function checkChange(
  context: CoreContext,
  change: SectionChange,
  stored: StoredConfiguration,
  next: StoredConfiguration,
): AdminReply | undefined {
  const current = sectionOf(stored, change.name);
  if ((current?.version ?? 0) !== change.baseVersion) {
    return conflict(change, current);
  }
  const parsed = context.parseConfiguration(next.sections);
  if (parsed.isOk()) {
    return undefined;
  }
  const faults = parsed.error.map((fault) => ({ ...fault }));
  return refused({
    status: 422,
    reason: AdminReason.InvalidConfiguration,
    detail: `The document has ${faults.length} faults with this change. Correct them and apply it again.`,
    extra: { faults },
  });
}

function conflict(change: SectionChange, current: StoredSection | undefined): AdminReply {
  const version = current?.version ?? 0;
  const changedBy = current?.changedBy ?? '';
  const changedAtMs = current?.changedAtMs ?? 0;
  const at = new Date(changedAtMs).toISOString();
  const now =
    current === undefined
      ? 'does not exist yet (version 0)'
      : `is at version ${version}, changed by ${changedBy} at ${at}`;
  return refused({
    status: 409,
    reason: AdminReason.Conflict,
    detail: `Section ${change.name} ${now}, not at ${change.baseVersion}. Read it and apply the change to it.`,
    extra: { version, changedBy, changedAtMs },
  });
}

function answerOf(change: SectionChange, next: StoredConfiguration): { revision: number; version: number } {
  return { revision: next.revision, version: sectionOf(next, change.name)?.version ?? 0 };
}

function createTransaction(
  change: SectionChange,
  snapshot: ConfigurationSnapshot,
  next: StoredConfiguration,
): TableTransaction {
  const { name, text, changeId, operatorId } = change;
  const key = sectionKey(name);
  const answer = answerOf(change, next);
  const sectionValue = next.sections.filter((section) => section.name === name).map(encodeSection)[0];
  const changeValue = { ...answer, section: name, changedBy: operatorId, textHash: hash32(text) };
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
      { key: historyKey(name, answer.version), value: sectionValue },
    ],
  };
}
