/** How routers name a request towards upstreams and in bills: organisation and key, encoded, with a colon. */
export function scopedIdentity(organisationId: string, key: string): string {
  return `${encodeURIComponent(organisationId)}:${encodeURIComponent(key)}`;
}

/** The caller's key of a scoped identity; an identity of another form is returned as it is. */
export function keyOfScopedIdentity(identity: string): string {
  const separator = identity.indexOf(':');
  return separator === -1 ? identity : decodeURIComponent(identity.slice(separator + 1));
}
