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
  containerName: string,
): Result<T, LocatedIssue[]> {
  if (source.issues.length > 0) {
    return err([...source.issues]);
  }
  const checked = schema.safeParse(source.value);
  return checked.success
    ? ok(checked.data)
    : err(checked.error.issues.flatMap((issue) => toLocatedIssues(source, issue, containerName)));
}

/** Formats a field path prefixed with the name of its container, as in `budgets[2].organisationId`. */
export function fieldName(containerName: string, path: FieldPath): string {
  const field = formatPath(path);
  const separator = containerName === '' || field === '' || field.startsWith('[') ? '' : '.';
  return `${containerName}${separator}${field}` || '(document)';
}

function toLocatedIssues(source: YamlSource, issue: z.core.$ZodIssue, containerName: string): LocatedIssue[] {
  const path = issue.path.map((step) => (typeof step === 'symbol' ? String(step) : step));
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => unknownFieldIssue(source, path, key, issue.message, containerName));
  }
  const field = fieldName(containerName, path);
  const missing = valueAt(source.value, path) === undefined;
  const advice = missing ? 'add the field' : 'correct the value';
  return [{ ...source.positionOf(path), field, expected: issue.message, advice }];
}

function unknownFieldIssue(
  source: YamlSource,
  path: FieldPath,
  key: string,
  knownFields: string,
  containerName: string,
): LocatedIssue {
  const nearest = nearestField(key, knownFields.split(FIELD_SEPARATOR)) ?? '';
  return {
    ...source.positionOfKey(path, key),
    field: fieldName(containerName, [...path, key]),
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
