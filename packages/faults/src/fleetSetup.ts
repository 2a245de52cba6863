import type { CoreOptions, RouterIdentity, StoredSection } from '@pimentostall/core';
import type { FakeEngineOptions } from './fakes/fakeEngine.ts';
import { DEFAULT_FAKE_ENGINE_OPTIONS } from './fakes/fakeEngine.ts';
import {
  ENGINE_ADDRESSES,
  FENCING_IGNORED_BY,
  SERVICE_ADDRESS,
  routerIdentities,
  storedSections,
} from './fleet.ts';
import { MATRIX_CORE_OPTIONS, REPLACE_AFTER_MS } from './options.ts';

/** What a simulation consists of: routers, upstreams, configuration and timing. Addresses from 127.2. are far. */
export interface FleetSetup {
  readonly identities: readonly RouterIdentity[];
  readonly engineAddresses: readonly string[];
  readonly engineOptions: FakeEngineOptions;
  readonly serviceAddress: string;
  readonly sections: readonly StoredSection[];
  readonly coreOptions: Partial<CoreOptions>;
  /** A crashed router's VM is replaced after this time. */
  readonly replaceAfterMs: number;
  /** Gets every payload that is sent between the regions. */
  readonly onLinkTransfer?: (payload: unknown) => void;
}

/** The small fleet of the fault matrix. */
export const MATRIX_FLEET_SETUP: FleetSetup = {
  identities: routerIdentities(),
  engineAddresses: ENGINE_ADDRESSES,
  engineOptions: { ...DEFAULT_FAKE_ENGINE_OPTIONS, fencingIgnoredBy: [FENCING_IGNORED_BY] },
  serviceAddress: SERVICE_ADDRESS,
  sections: storedSections(),
  coreOptions: MATRIX_CORE_OPTIONS,
  replaceAfterMs: REPLACE_AFTER_MS,
};
