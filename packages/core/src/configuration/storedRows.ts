import type { JsonValue, TableRow } from '../types/table.ts';
import type { StoredSection } from '../types/configuration.ts';
import { SectionName } from '../types/configuration.ts';

export const REVISION_KEY = 'config/revision';
export const SECTION_PREFIX = 'config/section/';

export function sectionKey(name: SectionName): string {
  return `${SECTION_PREFIX}${name}`;
}

export function historyKey(name: SectionName, version: number): string {
  return `config/history/${name}/${version}`;
}

export function changeKey(changeId: string): string {
  return `config/change/${changeId}`;
}

export function operatorKey(keySha256: string): string {
  return `operator/${keySha256}`;
}

type JsonObject = Readonly<Record<string, JsonValue>>;

/** Returns the value of a row as an object, or undefined if the row is missing or holds another type. */
export function objectValue(row: TableRow | undefined): JsonObject | undefined {
  const value = row?.value;
  return typeof value === 'object' && value !== null && !Array.isArray(value)
    ? (value as JsonObject)
    : undefined;
}

export function numberField(value: JsonObject | undefined, field: string): number | undefined {
  const content = value?.[field];
  return typeof content === 'number' ? content : undefined;
}

export function stringField(value: JsonObject | undefined, field: string): string | undefined {
  const content = value?.[field];
  return typeof content === 'string' ? content : undefined;
}

/** Returns the stored revision, or 0 if there is none. */
export function decodeRevision(row: TableRow | undefined): number {
  return numberField(objectValue(row), 'revision') ?? 0;
}

export function parseSectionName(name: string): SectionName | undefined {
  const nameByText = new Map<string, SectionName>(Object.values(SectionName).map((known) => [known, known]));
  return nameByText.get(name);
}

/** Decodes a section row. Returns undefined if its name is unknown or a required field is missing. */
export function decodeSection(row: TableRow): StoredSection | undefined {
  const name = parseSectionName(row.key.slice(SECTION_PREFIX.length));
  const value = objectValue(row);
  const version = numberField(value, 'version');
  const text = stringField(value, 'text');
  if (name === undefined || version === undefined || text === undefined) {
    return undefined;
  }
  return {
    name,
    version,
    text,
    changedBy: stringField(value, 'changedBy') ?? 'unknown',
    changedAtMs: numberField(value, 'changedAtMs') ?? 0,
    changeId: stringField(value, 'changeId') ?? '',
  };
}

export function encodeSection(section: StoredSection): JsonValue {
  const { version, text, changedBy, changedAtMs, changeId } = section;
  return { version, text, changedBy, changedAtMs, changeId };
}
