import type { ConfigurationDocument, ConfigurationIssue, ConfigurationParser } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { checkReferences } from './checkReferences.ts';
import { checkSchema, fieldName } from './checkSchema.ts';
import { sectionSchemas } from './configurationSchema.ts';
import { YamlSource } from './yamlSource.ts';

/** The name and YAML text of a section. */
export interface SectionText {
  readonly name: SectionName;
  readonly text: string;
}

type Sources = Readonly<Record<SectionName, YamlSource>>;

/** Validates all sections as one document. Missing sections are treated as empty. Never throws. */
export const parseConfigurationSections: ConfigurationParser = (sections) => parseSectionTexts(sections);

export function parseSectionTexts(
  sections: readonly SectionText[],
): Result<ConfigurationDocument, readonly ConfigurationIssue[]> {
  const sources = readSources(sections);
  return checkSchemas(sources).andThen((document) => {
    const issues = checkReferences(document).map(({ section, path, expected, advice }) => ({
      section,
      ...sources[section].positionOf(path),
      field: fieldName(section, path),
      expected,
      advice,
    }));
    return issues.length === 0 ? ok(document) : err(issues);
  });
}

function readSources(sections: readonly SectionText[]): Sources {
  const texts = new Map(sections.map(({ name, text }) => [name, text]));
  const entries = Object.values(SectionName).map((name) => [name, new YamlSource(texts.get(name) ?? '')]);
  return Object.fromEntries(entries) as Sources;
}

function checkSchemas(sources: Sources): Result<ConfigurationDocument, ConfigurationIssue[]> {
  const issues: ConfigurationIssue[] = [];
  const values = Object.values(SectionName).map((section) => {
    const checked = checkSchema<unknown>(sources[section], sectionSchemas[section], section);
    if (checked.isErr()) {
      issues.push(...checked.error.map((issue) => ({ section, ...issue })));
    }
    return [section, checked.unwrapOr([])];
  });
  // Each section's schema yields the type of its field in the document.
  return issues.length === 0 ? ok(Object.fromEntries(values) as ConfigurationDocument) : err(issues);
}
