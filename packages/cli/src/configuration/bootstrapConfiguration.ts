import type { RowCheck, RowWrite } from '@pimentostall/core';
import {
  encodeSection,
  historyKey,
  operatorKey,
  REVISION_KEY,
  SectionName,
  sectionKey,
} from '@pimentostall/core';
import type { OperatorEntry, SplitSection } from '@pimentostall/settings';
import {
  formatIssues,
  parseConfigurationDocument,
  parseOperators,
  splitSections,
} from '@pimentostall/settings';
import type { CommandOutcome } from '../commandOutcome.ts';
import { failure, success } from '../commandOutcome.ts';
import { sendHttpRequest } from '../httpClient.ts';
import { readTextFile } from '../readTextFile.ts';

export interface BootstrapSetup {
  readonly file: string;
  readonly platform: string;
  readonly operatorsFile: string;
  readonly changeId: string;
  readonly nowMs: number;
}

const BOOTSTRAP_AUTHOR = 'bootstrap';

/** Writes the first document, its operators and revision 1 in one transaction; fails if a revision exists. */
export async function bootstrapConfiguration(setup: BootstrapSetup): Promise<CommandOutcome> {
  const texts = readTextFile(setup.file).andThen((document) =>
    readTextFile(setup.operatorsFile).map((operators) => ({ document, operators })),
  );
  if (texts.isErr()) {
    return texts.error;
  }
  const prepared = parseConfigurationDocument(texts.value.document, setup.file)
    .andThen(() => splitSections(texts.value.document, setup.file))
    .andThen((sections) =>
      parseOperators(texts.value.operators, setup.operatorsFile).map((operators) => ({
        sections,
        operators,
      })),
    );
  return prepared.isErr()
    ? failure(formatIssues(prepared.error))
    : commit(setup, createWrites(setup, prepared.value.sections, prepared.value.operators));
}

function createWrites(
  setup: BootstrapSetup,
  sections: readonly SplitSection[],
  operators: readonly OperatorEntry[],
): RowWrite[] {
  const { changeId, nowMs: changedAtMs } = setup;
  const sectionWrites = Object.values(SectionName).flatMap((name) => {
    const text = sections.find((section) => section.name === name)?.text ?? '[]\n';
    const value = encodeSection({
      name,
      version: 1,
      text,
      changedBy: BOOTSTRAP_AUTHOR,
      changedAtMs,
      changeId,
    });
    return [
      { key: sectionKey(name), value },
      { key: historyKey(name, 1), value },
    ];
  });
  const operatorWrites = operators.map(({ operatorId, keySha256, sections: owned }) => ({
    key: operatorKey(keySha256),
    value: { operatorId, sections: owned },
  }));
  return [{ key: REVISION_KEY, value: { revision: 1, changeId } }, ...sectionWrites, ...operatorWrites];
}

async function commit(setup: BootstrapSetup, writes: readonly RowWrite[]): Promise<CommandOutcome> {
  const checks: RowCheck[] = writes.map(({ key }) => ({ key, expectedVersion: 0 }));
  const response = await sendHttpRequest({
    method: 'POST',
    address: setup.platform,
    path: '/table/commit',
    body: JSON.stringify({ checks, writes }),
  });
  if (response.isOk() && response.value.status === 200) {
    return success('The first configuration is stored at revision 1.');
  }
  if (await isRevisionOfThisRun(setup)) {
    return success('The first configuration is stored at revision 1; the response to its commit was lost.');
  }
  if (response.isOk() && response.value.status === 409) {
    return failure('The table already holds a configuration or operators. Use "config apply" for changes.');
  }
  return failure(
    'The platform sent no usable response, so the write may have taken effect. Run the command again.',
  );
}

/** True if this run wrote the stored revision, in which case the response to its commit was lost. */
async function isRevisionOfThisRun({ platform: address, changeId }: BootstrapSetup): Promise<boolean> {
  const body = JSON.stringify({ keys: [REVISION_KEY] });
  const response = await sendHttpRequest({ method: 'POST', address, path: '/table/read', body });
  const rows = response.isOk() ? response.value.body.rows : undefined;
  const row: unknown = Array.isArray(rows) ? rows[0] : undefined;
  const value = (row as { value?: { changeId?: unknown } } | undefined)?.value;
  return value?.changeId === changeId;
}
