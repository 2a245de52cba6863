import { SectionName } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { Pair } from 'yaml';
import { isMap, isScalar, LineCounter, parseDocument } from 'yaml';
import type { SettingsIssue } from './issues.ts';
import { nearestField } from './nearestField.ts';
import { YamlSource } from './yamlSource.ts';

/** A section extracted from a configuration document. */
export interface SplitSection {
  readonly name: SectionName;
  readonly text: string;
  /** Number of lines before the section's text, used to translate the positions of issues. */
  readonly linesBefore: number;
}

/** Splits a configuration document into sections, preserving their text and comments. */
export function splitSections(text: string, file = 'document'): Result<SplitSection[], SettingsIssue[]> {
  const source = new YamlSource(text);
  if (source.issues.length > 0) {
    return err(source.issues.map((issue) => ({ file, ...issue })));
  }
  const { contents } = parseDocument(text, { lineCounter: new LineCounter() });
  if (contents === null) {
    return ok([]);
  }
  if (!isMap(contents) || contents.flow === true) {
    return err([documentIssue(file, source.placeOf([]))]);
  }
  const starts = contents.items.map((pair) => keyStart(pair));
  const cuts = contents.items.map((pair, index) =>
    cutSection({
      text,
      file,
      source,
      start: starts[index],
      end: starts[index + 1] ?? text.length,
      name: keyName(pair),
    }),
  );
  const issues = cuts.flatMap((cut) => (cut.isErr() ? [cut.error] : []));
  return issues.length > 0 ? err(issues) : ok(cuts.flatMap((cut) => (cut.isOk() ? [cut.value] : [])));
}

function keyStart(pair: Pair): number {
  return isScalar(pair.key) ? (pair.key.range?.[0] ?? 0) : 0;
}

function keyName(pair: Pair): string {
  return isScalar(pair.key) ? String(pair.key.value) : '';
}

interface Cut {
  readonly text: string;
  readonly file: string;
  readonly source: YamlSource;
  readonly start: number | undefined;
  readonly end: number;
  readonly name: string;
}

function cutSection({ text, file, source, start = 0, end, name }: Cut): Result<SplitSection, SettingsIssue> {
  const known = Object.values(SectionName).find((section) => name === section.valueOf());
  const place = source.placeAt(start);
  if (known === undefined) {
    return err(unknownSection(file, place, name));
  }
  const whole = text.slice(start, end);
  const colon = /^(?:"[^"]*"|'[^']*'|[a-z]+)[ \t]*:/.exec(whole)?.[0].length;
  if (colon === undefined) {
    return err(documentIssue(file, place));
  }
  const lineEnd = whole.indexOf('\n');
  const restOfLine = lineEnd < 0 ? whole.slice(colon) : whole.slice(colon, lineEnd);
  if (lineEnd >= 0 && /^\s*(?:#.*)?$/.test(restOfLine)) {
    return ok({ name: known, text: whole.slice(lineEnd + 1), linesBefore: place.line });
  }
  // Replaces the key by spaces, so that a value on the same line keeps its column.
  const padding = ' '.repeat(place.column - 1 + colon);
  return ok({ name: known, text: padding + whole.slice(colon), linesBefore: place.line - 1 });
}

function documentIssue(file: string, place: { line: number; column: number }): SettingsIssue {
  const expected = 'a block mapping with one plain key for each section';
  return {
    file,
    ...place,
    field: '(document)',
    expected,
    advice: 'write each section as "name:" on its own line',
  };
}

function unknownSection(file: string, place: { line: number; column: number }, name: string): SettingsIssue {
  const names = Object.values(SectionName);
  const advice = `remove the unknown section or write "${nearestField(name, names) ?? ''}"`;
  return {
    file,
    ...place,
    field: name || '(document)',
    expected: `one of the sections ${names.join(', ')}`,
    advice,
  };
}
