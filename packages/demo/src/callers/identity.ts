/** The request ID that routers use towards upstreams and in bills: `organisation:key`, both URL-encoded. */
export function scopedRequestId(organisationId: string, key: string): string {
  return `${encodeURIComponent(organisationId)}:${encodeURIComponent(key)}`;
}

/** Extracts the idempotency key from a scoped request ID; an ID without a colon is returned unchanged. */
export function idempotencyKeyOf(identity: string): string {
  const separator = identity.indexOf(':');
  return separator === -1 ? identity : decodeURIComponent(identity.slice(separator + 1));
}
