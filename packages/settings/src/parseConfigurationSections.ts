import type { ConfigurationDocument, ConfigurationParser } from '@pimentostall/core';
import { ok } from 'neverthrow';
import { parse } from 'yaml';

/** Reads the sections without checking their fields. */
export const parseConfigurationSections: ConfigurationParser = (sections) => {
  const fields = sections.map((section) => [section.name, parse(section.text) as unknown] as const);
  return ok(Object.fromEntries(fields) as unknown as ConfigurationDocument);
};
