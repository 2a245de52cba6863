import { isIPv4 } from 'node:net';
import { z } from 'zod';

const IDENTIFIER = /^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$/;
const MAX_PORT = 65_535;

/** Schema messages state what the field expects; `checkSchema` adds the position and the advice. */
export function textField(expected: string, pattern: RegExp): z.ZodString {
  return z.string({ error: expected }).regex(pattern, { error: expected });
}

/** Identifiers are used in row keys and URLs, so they must not contain a slash. */
export function identifier(): z.ZodString {
  return textField('an identifier of at most 100 letters, digits, ".", "_" or "-"', IDENTIFIER);
}

export function address(): z.ZodType<string> {
  const expected = 'an address IP:port';
  return z.string({ error: expected }).refine(isAddress, { error: expected });
}

function isAddress(text: string): boolean {
  const [host, port, ...rest] = text.split(':');
  const portNumber = /^\d{1,5}$/.test(port ?? '') ? Number(port) : 0;
  return rest.length === 0 && isIPv4(host ?? '') && portNumber > 0 && portNumber <= MAX_PORT;
}

export function integer(minimum: number): z.ZodInt {
  const expected = `an integer of at least ${minimum}`;
  return z.int({ error: expected }).min(minimum, { error: expected });
}

export function numberBetween(minimum: number, maximum: number): z.ZodNumber {
  const expected = `a number from ${minimum} to ${maximum}`;
  return z.number({ error: expected }).min(minimum, { error: expected }).max(maximum, { error: expected });
}

export function booleanField(): z.ZodBoolean {
  return z.boolean({ error: 'true or false' });
}

export function list<T extends z.ZodType>(item: T): z.ZodArray<T> {
  return z.array(item, { error: 'a list' });
}

/** Separates field names in the message for an unknown field, which `checkSchema` splits to suggest one. */
export const FIELD_SEPARATOR = ', ';

/** A mapping that rejects unknown fields. */
export function mapping<T extends z.core.$ZodLooseShape>(shape: T): z.ZodObject<T, z.core.$strict> {
  const fields = Object.keys(shape).join(FIELD_SEPARATOR);
  return z.strictObject(shape, {
    error: (issue) => (issue.code === 'unrecognized_keys' ? fields : `a mapping with the fields ${fields}`),
  });
}
