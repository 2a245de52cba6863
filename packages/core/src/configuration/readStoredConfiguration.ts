import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { readRows, scanRows } from '../table/tableCalls.ts';
import type { StoredConfiguration } from '../types/configuration.ts';
import type { TableRow } from '../types/table.ts';
import { ABSENT_ROW_VERSION } from '../types/table.ts';
import { decodeRevision, decodeSection, REVISION_KEY, SECTION_PREFIX } from './storedRows.ts';

/** A change between the two reads of the revision row starts the read again; more in a row are left to the next poll. */
const MAX_READS = 3;

/** The rows of one revision, with the row versions that a change must check. */
export interface ConfigurationSnapshot {
  readonly stored: StoredConfiguration;
  readonly revisionRowVersion: number;
  readonly sectionRowVersions: ReadonlyMap<string, number>;
}

/** Reads the revision row alone; undefined means that the store gave no answer. */
export function* readRevision(context: CoreContext): Task<number | undefined> {
  const rows = yield* readRows(context, [REVISION_KEY]);
  return rows === undefined ? undefined : decodeRevision(rows.get(REVISION_KEY));
}

/**
 * Reads all sections of one revision. Every change writes the revision row, so sections that were read between
 * two equal reads of that row belong together. Undefined means no answer or too many changes meanwhile.
 */
export function* readConfigurationSnapshot(context: CoreContext): Task<ConfigurationSnapshot | undefined> {
  let before = yield* readRows(context, [REVISION_KEY]);
  for (let reads = 0; reads < MAX_READS && before !== undefined; reads += 1) {
    const sections = yield* scanRows(context, SECTION_PREFIX);
    const after = yield* readRows(context, [REVISION_KEY]);
    if (sections === undefined || after === undefined) {
      return undefined;
    }
    if (rowVersion(before) === rowVersion(after)) {
      return createSnapshot(after.get(REVISION_KEY), sections);
    }
    before = after;
  }
  return undefined;
}

function rowVersion(rows: ReadonlyMap<string, TableRow>): number {
  return rows.get(REVISION_KEY)?.version ?? ABSENT_ROW_VERSION;
}

function createSnapshot(
  revisionRow: TableRow | undefined,
  sections: ReadonlyMap<string, TableRow>,
): ConfigurationSnapshot {
  const rows = [...sections.values()];
  return {
    stored: {
      revision: decodeRevision(revisionRow),
      sections: rows.map(decodeSection).filter((section) => section !== undefined),
    },
    revisionRowVersion: revisionRow?.version ?? ABSENT_ROW_VERSION,
    sectionRowVersions: new Map(rows.map((row) => [row.key, row.version])),
  };
}
