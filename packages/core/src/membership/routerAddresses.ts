import type { CoreContext } from '../context.ts';
import { VmRole } from '../types/membership.ts';

interface RouterAddresses {
  /** Peer addresses of the other routers in the local region. */
  readonly sameRegion: string[];
  /** Peer addresses of routers in other regions. */
  readonly otherRegions: string[];
}

/** Returns routers known from the list or heartbeats, since the list lags and the platform may be down. */
export function routerAddresses(context: CoreContext): RouterAddresses {
  const { identity, membership } = context.board;
  const regionByAddress = new Map<string, string>();
  for (const vm of membership.vms.values()) {
    if (vm.role === VmRole.Router) {
      regionByAddress.set(vm.address, vm.region);
    }
  }
  for (const [address, peer] of membership.peers) {
    regionByAddress.set(address, peer.sender.region);
  }
  regionByAddress.delete(identity.peerAddress);
  const addresses = [...regionByAddress.keys()];
  return {
    sameRegion: addresses.filter((address) => regionByAddress.get(address) === identity.region),
    otherRegions: addresses.filter((address) => regionByAddress.get(address) !== identity.region),
  };
}
