import { createHash } from 'node:crypto';

const BEARER = /^Bearer +([\x21-\x7e]{1,512}) *$/i;

/** Hexadecimal SHA-256 of the bearer key; undefined if the header has none. The key itself is not stored. */
export function hashBearerKey(authorization: string | undefined): string | undefined {
  const key = BEARER.exec(authorization ?? '')?.[1];
  return key === undefined ? undefined : createHash('sha256').update(key).digest('hex');
}
