import { SectionName } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { z } from 'zod';
import { checkSchema } from './checkSchema.ts';
import type { SettingsIssue } from './issues.ts';
import { identifier, list, mapping, textField } from './schemaParts.ts';
import { YamlSource } from './yamlSource.ts';

/** An entry of the operators file that is used to bootstrap an installation. */
export interface OperatorEntry {
  readonly operatorId: string;
  readonly keySha256: string;
  readonly sections: readonly SectionName[];
}

const sectionNames = Object.values(SectionName).join(', ');

const operatorsSchema = list(
  mapping({
    operatorId: identifier(),
    keySha256: textField('a SHA-256 of 64 lower-case hexadecimal digits', /^[0-9a-f]{64}$/),
    sections: list(z.enum(SectionName, { error: `one of the sections ${sectionNames}` })),
  }),
);

/** Parses the operators file of a new installation. */
export function parseOperators(
  text: string,
  file: string,
): Result<readonly OperatorEntry[], readonly SettingsIssue[]> {
  return checkSchema(new YamlSource(text), operatorsSchema, 'operators').mapErr((issues) =>
    issues.map((issue) => ({ file, ...issue })),
  );
}
