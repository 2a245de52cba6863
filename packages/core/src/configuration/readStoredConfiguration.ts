import type { CoreContext } from '../context.ts';
import type { Task } from '../scheduler/task.ts';
import { readRows, scanRows } from '../table/tableCalls.ts';
import type { StoredConfiguration } from '../types/configuration.ts';
import type { TableRow } from '../types/table.ts';
import { ABSENT_ROW_VERSION } from '../types/table.ts';
import { decodeRevision, decodeSection, REVISION_KEY, SECTION_PREFIX } from './storedRows.ts';

/** Section reads per snapshot. Each concurrent change requires another one; after the last, the next poll retries. */
const MAX_SNAPSHOT_READS = 3;

/** The sections of one revision, with the row versions that a change must check. */
export interface ConfigurationSnapshot {
  readonly stored: StoredConfiguration;
  readonly revisionRowVersion: number;
  readonly sectionRowVersions: ReadonlyMap<string, number>;
}

/** Reads only the revision row. Returns undefined if the store does not reply. */
export function* readRevision(context: CoreContext): Task<number | undefined> {
  const rows = yield* readRows(context, [REVISION_KEY]);
  return rows === undefined ? undefined : decodeRevision(rows.get(REVISION_KEY));
}

/**
 * Reads all sections of one revision. Every change writes the revision row, so sections that were read between two
 * reads with the same version of that row are consistent. Returns undefined if the store does not reply or too many
 * changes happen during the reads.
 */
export function* readConfigurationSnapshot(context: CoreContext): Task<ConfigurationSnapshot | undefined> {
  let beforeRows = yield* readRows(context, [REVISION_KEY]);
  for (let reads = 0; reads < MAX_SNAPSHOT_READS && beforeRows !== undefined; reads += 1) {
    const sections = yield* scanRows(context, SECTION_PREFIX);
    const afterRows = yield* readRows(context, [REVISION_KEY]);
    if (sections === undefined || afterRows === undefined) {
      return undefined;
    }
    if (revisionRowVersionOf(beforeRows) === revisionRowVersionOf(afterRows)) {
      return createSnapshot(afterRows.get(REVISION_KEY), sections);
    }
    beforeRows = afterRows;
  }
  return undefined;
}

function revisionRowVersionOf(rows: ReadonlyMap<string, TableRow>): number {
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
