import type { CoreOptions, RouterIdentity, StoredSection } from '@pimentostall/core';
import type { FakeEngineOptions } from './fakes/fakeEngine.ts';
import { DEFAULT_FAKE_ENGINE_OPTIONS } from './fakes/fakeEngine.ts';
import {
  ENGINE_ADDRESSES,
  SERVICE_ADDRESS,
  UNFENCED_ENGINE_ADDRESS,
  routerIdentities,
  storedSections,
} from './fleet.ts';
import { MATRIX_CORE_OPTIONS, REPLACE_AFTER_MS } from './options.ts';

/** Routers, upstreams, configuration and timing of a simulation. Addresses that start with 127.2. are far. */
export interface FleetSetup {
  readonly identities: readonly RouterIdentity[];
  readonly engineAddresses: readonly string[];
  readonly engineOptions: FakeEngineOptions;
  readonly serviceAddress: string;
  readonly sections: readonly StoredSection[];
  readonly coreOptions: Partial<CoreOptions>;
  /** Time after which the VM of a crashed router is replaced. */
  readonly replaceAfterMs: number;
  /** Called with every payload that is sent between the regions. */
  readonly onLinkTransfer?: (payload: unknown) => void;
}

/** Fleet of the fault matrix. */
export const MATRIX_FLEET_SETUP: FleetSetup = {
  identities: routerIdentities(),
  engineAddresses: ENGINE_ADDRESSES,
  engineOptions: { ...DEFAULT_FAKE_ENGINE_OPTIONS, fencingIgnoredBy: [UNFENCED_ENGINE_ADDRESS] },
  serviceAddress: SERVICE_ADDRESS,
  sections: storedSections(),
  coreOptions: MATRIX_CORE_OPTIONS,
  replaceAfterMs: REPLACE_AFTER_MS,
};
