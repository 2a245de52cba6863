import type { ConfigurationDocument } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import type { SettingsIssue } from './issues.ts';
import { parseSectionTexts } from './parseConfigurationSections.ts';
import { splitSections } from './splitSections.ts';

/** Validates a document with all sections. Positions of issues refer to the whole document. */
export function parseConfigurationDocument(
  text: string,
  file = 'document',
): Result<ConfigurationDocument, readonly SettingsIssue[]> {
  return splitSections(text, file).andThen((sections) => {
    const linesBefore = new Map(sections.map((section) => [section.name, section.linesBefore]));
    return parseSectionTexts(sections).mapErr((issues) =>
      issues.map(({ section, line, column, field, expected, advice }) => ({
        file,
        line: line + (linesBefore.get(section) ?? 0),
        column,
        field,
        expected,
        advice,
      })),
    );
  });
}
