import type { CoreOptions, RouterIdentity, StoredSection } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';
import type { FakeEngineOptions, FleetSetup } from '@pimentostall/faults';
import { FAR_REGION, NEAR_REGION, SERVICE_ADDRESS, storedSections } from '@pimentostall/faults';
import { REPLACE_AFTER_MS } from './scenarios.ts';
import type { Organisation } from './types.ts';

export const MODEL = 'assistant-small';
export const PROMPT_MICROS_PER_TOKEN = 2;
export const OUTPUT_MICROS_PER_TOKEN = 40;
export const MAX_OUTPUT_TOKENS = 8;

/** Answers take about two seconds and have few chunks, which keeps long scenarios cheap to simulate. */
export const ENGINE_OPTIONS: FakeEngineOptions = {
  prefillMs: 200,
  tokenIntervalMs: 300,
  minOutputTokens: 2,
  outputTokenSpread: 7,
};

/** Membership and load reads are less frequent than in production: they move no money but dominate the run time. */
const BENCH_CORE_OPTIONS: Partial<CoreOptions> = { probeIntervalMs: 2_000, membershipIntervalMs: 2_000 };

export const ROUTERS: readonly RouterIdentity[] = [
  createRouterIdentity(1, NEAR_REGION, 'near-a', '127.1.0.1'),
  createRouterIdentity(2, NEAR_REGION, 'near-a', '127.1.0.2'),
  createRouterIdentity(3, NEAR_REGION, 'near-b', '127.1.0.3'),
  createRouterIdentity(4, NEAR_REGION, 'near-b', '127.1.0.4'),
  createRouterIdentity(5, FAR_REGION, 'far-a', '127.2.0.1'),
  createRouterIdentity(6, FAR_REGION, 'far-a', '127.2.0.2'),
  createRouterIdentity(7, FAR_REGION, 'far-a', '127.2.0.3'),
];

const ENGINES = [
  { address: '127.1.0.31:8400', region: NEAR_REGION, availabilityZone: 'near-a' },
  { address: '127.1.0.32:8400', region: NEAR_REGION, availabilityZone: 'near-b' },
  { address: '127.2.0.31:8400', region: FAR_REGION, availabilityZone: 'far-a' },
  { address: '127.2.0.32:8400', region: FAR_REGION, availabilityZone: 'far-a' },
];

/** More than any scenario runs concurrently, because the benchmark measures budgets and not capacity. */
const MAX_CONCURRENT = 10_000;

function createRouterIdentity(
  index: number,
  region: string,
  availabilityZone: string,
  ip: string,
): RouterIdentity {
  return {
    routerId: `router-${index}`,
    vmId: `vm-router-${index}`,
    region,
    storeRegion: NEAR_REGION,
    availabilityZone,
    callerAddress: `${ip}:8080`,
    peerAddress: `${ip}:8081`,
  };
}

export interface FleetParameters {
  readonly organisations: readonly Organisation[];
  readonly core: Partial<CoreOptions>;
  readonly onStart: FakeEngineOptions['onStart'];
  readonly onLinkTransfer: (payload: unknown) => void;
}

export function createFleetSetup(setup: FleetParameters): FleetSetup {
  return {
    identities: ROUTERS,
    engineAddresses: ENGINES.map(({ address }) => address),
    engineOptions: { ...ENGINE_OPTIONS, onStart: setup.onStart },
    serviceAddress: SERVICE_ADDRESS,
    sections: createSections(setup.organisations),
    coreOptions: { ...BENCH_CORE_OPTIONS, ...setup.core },
    replaceAfterMs: REPLACE_AFTER_MS,
    onLinkTransfer: setup.onLinkTransfer,
  };
}

/** Returns the text of the budgets section before or after the scenario's top-up. */
export function budgetsText(organisations: readonly Organisation[], withTopUp: boolean): string {
  return JSON.stringify(
    organisations.map(({ organisationId, fundedMicros, topUpMicros }) => {
      const first = { topUpId: 'first', amountMicros: fundedMicros };
      const second = { topUpId: 'second', amountMicros: topUpMicros };
      return { organisationId, topUps: withTopUp && topUpMicros > 0 ? [first, second] : [first] };
    }),
  );
}

function createSections(organisations: readonly Organisation[]): StoredSection[] {
  const texts: Partial<Record<SectionName, string>> = {
    [SectionName.Organisations]: JSON.stringify(
      organisations.map(({ organisationId, keySha256, entryWeight }) => ({
        organisationId,
        keySha256: [keySha256],
        entryWeight,
      })),
    ),
    [SectionName.Budgets]: budgetsText(organisations, false),
    [SectionName.Rules]: JSON.stringify([
      {
        model: MODEL,
        classId: 'assistant',
        promptMicrosPerToken: PROMPT_MICROS_PER_TOKEN,
        outputMicrosPerToken: OUTPUT_MICROS_PER_TOKEN,
        maxOutputTokens: MAX_OUTPUT_TOKENS,
      },
    ]),
    [SectionName.Engines]: JSON.stringify(
      ENGINES.map((engine, index) => ({
        ...engine,
        engineId: `engine-${index + 1}`,
        models: [MODEL],
        maxConcurrent: MAX_CONCURRENT,
        honoursFencing: true,
      })),
    ),
  };
  return storedSections().map((section) => ({ ...section, text: texts[section.name] ?? section.text }));
}
