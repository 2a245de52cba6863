import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { z } from 'zod';
import { nearestField } from './nearestField.ts';
import { FIELD_SEPARATOR } from './schemaParts.ts';
import type { FieldPath, LocatedIssue, YamlSource } from './yamlSource.ts';
import { formatPath } from './yamlSource.ts';

/** Validates the values of a source and locates each issue in its text. */
export function checkSchema<T>(
  source: YamlSource,
  schema: z.ZodType<T>,
  name: string,
): Result<T, LocatedIssue[]> {
  if (source.issues.length > 0) {
    return err([...source.issues]);
  }
  const checked = schema.safeParse(source.value);
  return checked.success
    ? ok(checked.data)
    : err(checked.error.issues.flatMap((issue) => locateIssue(source, issue, name)));
}

/** Formats a field path prefixed with the name of its container, as in `budgets[2].organisationId`. */
export function fieldName(name: string, path: FieldPath): string {
  const field = formatPath(path);
  const separator = name === '' || field === '' || field.startsWith('[') ? '' : '.';
  return `${name}${separator}${field}` || '(document)';
}

function locateIssue(source: YamlSource, issue: z.core.$ZodIssue, name: string): LocatedIssue[] {
  const path = issue.path.map((step) => (typeof step === 'symbol' ? String(step) : step));
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => unknownField(source, path, key, issue.message, name));
  }
  const field = fieldName(name, path);
  const missing = valueAt(source.value, path) === undefined;
  const advice = missing ? 'add the field' : 'correct the value';
  return [{ ...source.placeOf(path), field, expected: issue.message, advice }];
}

function unknownField(
  source: YamlSource,
  path: FieldPath,
  key: string,
  knownFields: string,
  name: string,
): LocatedIssue {
  const nearest = nearestField(key, knownFields.split(FIELD_SEPARATOR)) ?? '';
  return {
    ...source.placeOfKey(path, key),
    field: fieldName(name, [...path, key]),
    expected: `one of the fields ${knownFields}`,
    advice: `remove the unknown field or write "${nearest}"`,
  };
}

function valueAt(value: unknown, path: FieldPath): unknown {
  return path.reduce<unknown>(
    (current, step) =>
      typeof current === 'object' && current !== null
        ? (current as Record<string | number, unknown>)[step]
        : undefined,
    value,
  );
}
