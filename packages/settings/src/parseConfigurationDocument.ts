import type { ConfigurationDocument } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import type { SettingsFault } from './issues.ts';
import { parseSectionTexts } from './parseConfigurationSections.ts';
import { splitSections } from './splitSections.ts';

/** Checks the one long document; faults are located in it. */
export function parseConfigurationDocument(
  text: string,
  file = 'document',
): Result<ConfigurationDocument, readonly SettingsFault[]> {
  return splitSections(text, file).andThen((sections) => {
    const linesBefore = new Map(sections.map((section) => [section.name, section.linesBefore]));
    return parseSectionTexts(sections).mapErr((faults) =>
      faults.map(({ section, line, column, field, expected, advice }) => ({
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
