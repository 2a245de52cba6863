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
    return err([documentIssue(file, source.positionOf([]))]);
  }
  const starts = contents.items.map((pair) => keyStart(pair));
  const results = contents.items.map((pair, index) =>
    extractSection({
      text,
      file,
      source,
      start: starts[index],
      end: starts[index + 1] ?? text.length,
      name: keyName(pair),
    }),
  );
  const issues = results.flatMap((result) => (result.isErr() ? [result.error] : []));
  return issues.length > 0
    ? err(issues)
    : ok(results.flatMap((result) => (result.isOk() ? [result.value] : [])));
}

function keyStart(pair: Pair): number {
  return isScalar(pair.key) ? (pair.key.range?.[0] ?? 0) : 0;
}

function keyName(pair: Pair): string {
  return isScalar(pair.key) ? String(pair.key.value) : '';
}

interface ExtractionInput {
  readonly text: string;
  readonly file: string;
  readonly source: YamlSource;
  readonly start: number | undefined;
  readonly end: number;
  readonly name: string;
}

function extractSection({
  text,
  file,
  source,
  start = 0,
  end,
  name,
}: ExtractionInput): Result<SplitSection, SettingsIssue> {
  const sectionName = Object.values(SectionName).find((section) => name === section.valueOf());
  const position = source.positionAt(start);
  if (sectionName === undefined) {
    return err(unknownSection(file, position, name));
  }
  const keyAndValue = text.slice(start, end);
  const keyLength = /^(?:"[^"]*"|'[^']*'|[a-z]+)[ \t]*:/.exec(keyAndValue)?.[0].length;
  if (keyLength === undefined) {
    return err(documentIssue(file, position));
  }
  const lineEnd = keyAndValue.indexOf('\n');
  const restOfLine = lineEnd < 0 ? keyAndValue.slice(keyLength) : keyAndValue.slice(keyLength, lineEnd);
  if (lineEnd >= 0 && /^\s*(?:#.*)?$/.test(restOfLine)) {
    return ok({ name: sectionName, text: keyAndValue.slice(lineEnd + 1), linesBefore: position.line });
  }
  // Replaces the key by spaces, so that a value on the same line keeps its column.
  const padding = ' '.repeat(position.column - 1 + keyLength);
  return ok({
    name: sectionName,
    text: padding + keyAndValue.slice(keyLength),
    linesBefore: position.line - 1,
  });
}

function documentIssue(file: string, position: { line: number; column: number }): SettingsIssue {
  const expected = 'a block mapping with one plain key for each section';
  return {
    file,
    ...position,
    field: '(document)',
    expected,
    advice: 'write each section as "name:" on its own line',
  };
}

function unknownSection(
  file: string,
  position: { line: number; column: number },
  name: string,
): SettingsIssue {
  const names = Object.values(SectionName);
  const advice = `remove the unknown section or write "${nearestField(name, names) ?? ''}"`;
  return {
    file,
    ...position,
    field: name || '(document)',
    expected: `one of the sections ${names.join(', ')}`,
    advice,
  };
}
