export interface HostAndPort {
  readonly host: string;
  readonly port: number;
}

/** Splits `IP:port` at its last colon. */
export function splitAddress(address: string): HostAndPort {
  const colon = address.lastIndexOf(':');
  return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
}

/**
 * Replaces the address of a VM with its override in the settings, for example the address of a region link.
 */
export type AddressResolver = (address: string) => string;

export function createAddressResolver(overrides: Readonly<Record<string, string>>): AddressResolver {
  const byAddress = new Map(Object.entries(overrides));
  return (address) => byAddress.get(address) ?? address;
}
