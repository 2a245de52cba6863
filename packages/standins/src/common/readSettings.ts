import { readFileSync } from 'node:fs';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { parse } from 'yaml';
import type { z } from 'zod';

/** Reads and validates a YAML settings file. The error names the file, each invalid field and the expected value. */
export function readSettings<T>(file: string, schema: z.ZodType<T>): Result<T, string> {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return err(`${file}: cannot read the settings file: ${errorMessage(error)}`);
  }
  return parseSettings(file, text, schema);
}

export function parseSettings<T>(file: string, text: string, schema: z.ZodType<T>): Result<T, string> {
  let document: unknown;
  try {
    document = parse(text);
  } catch (error) {
    return err(`${file}: invalid YAML: ${errorMessage(error)}`);
  }
  const parsed = schema.safeParse(document ?? {});
  if (parsed.success) {
    return ok(parsed.data);
  }
  const faults = parsed.error.issues.map((issue) => {
    const field = issue.path.map(String).join('.');
    return `${file}: field "${field === '' ? '(document)' : field}": ${issue.message}`;
  });
  return err(faults.join('\n'));
}

function errorMessage(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
