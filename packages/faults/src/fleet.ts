import type { RouterIdentity, StoredSection } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';

export const NEAR_REGION = 'near';
export const FAR_REGION = 'far';

/** Addresses that start with 127.2. are in the far region. */
export function regionOf(address: string): string {
  return address.startsWith('127.2.') ? FAR_REGION : NEAR_REGION;
}

export const ENGINE_ADDRESSES = ['127.1.0.31:8400', '127.1.0.32:8400', '127.2.0.31:8400'] as const;
export const LEAVING_ENGINE_ADDRESS = ENGINE_ADDRESSES[1];
/** Ignores fencing numbers, since not every engine supports them. */
export const UNFENCED_ENGINE_ADDRESS = ENGINE_ADDRESSES[0];

export const SERVICE_ADDRESS = '127.1.0.50:8500';
export const MODEL = 'assistant-small';
export const PROMPT_MICROS_PER_TOKEN = 2;
export const OUTPUT_MICROS_PER_TOKEN = 10;
export const MAX_OUTPUT_TOKENS = 32;
export const ORDER_PRICE_MICROS = 700;

export const LARGE_ORGANISATION = 'org-large';
export const SMALL_ORGANISATION = 'org-small';
export const KEY_SHA256: Readonly<Record<string, string>> = {
  [LARGE_ORGANISATION]: 'a'.repeat(64),
  [SMALL_ORGANISATION]: 'b'.repeat(64),
};
export const OPERATOR_KEY_SHA256 = 'c'.repeat(64);
const LARGE_FUNDED_MICROS = 400_000;
/** Covers only a few requests, so that the budget runs out during the run. */
const SMALL_FUNDED_MICROS = 1_300;
export const TOP_UP_MICROS = 600;

export function routerIdentities(): RouterIdentity[] {
  return [
    identity('router-1', NEAR_REGION, 'near-a', '127.1.0.1'),
    identity('router-2', NEAR_REGION, 'near-b', '127.1.0.2'),
    identity('router-3', FAR_REGION, 'far-a', '127.2.0.1'),
  ];
}

function identity(routerId: string, region: string, availabilityZone: string, ip: string): RouterIdentity {
  return {
    routerId,
    vmId: `vm-${routerId}`,
    region,
    storeRegion: NEAR_REGION,
    availabilityZone,
    callerAddress: `${ip}:8080`,
    peerAddress: `${ip}:8081`,
  };
}

/** Text of the budgets section, optionally with a second top-up of the small organisation. */
export function budgetsText(withTopUp: boolean): string {
  const topUps = [{ topUpId: 'first', amountMicros: SMALL_FUNDED_MICROS }];
  if (withTopUp) {
    topUps.push({ topUpId: 'second', amountMicros: TOP_UP_MICROS });
  }
  return JSON.stringify([
    { organisationId: LARGE_ORGANISATION, topUps: [{ topUpId: 'first', amountMicros: LARGE_FUNDED_MICROS }] },
    { organisationId: SMALL_ORGANISATION, topUps },
  ]);
}

/** Text of the classes section. Different queue limits give racing operators different texts. */
export function classesText(maxQueued: number): string {
  return JSON.stringify([
    { classId: 'assistant', priority: 10, batch: false, maxQueued, deadlineMs: 20_000 },
    { classId: 'orders', priority: 20, batch: false, maxQueued: 50, deadlineMs: 20_000 },
  ]);
}

const sectionTexts: Readonly<Record<SectionName, string>> = {
  [SectionName.Organisations]: JSON.stringify(
    Object.entries(KEY_SHA256).map(([organisationId, keySha256]) => ({
      organisationId,
      keySha256: [keySha256],
      entryWeight: 1,
    })),
  ),
  [SectionName.Budgets]: budgetsText(false),
  [SectionName.Services]: JSON.stringify([
    { kind: 'model', serviceId: 'assistant', models: [MODEL] },
    {
      kind: 'plain',
      serviceId: 'orders',
      addresses: [SERVICE_ADDRESS],
      honoursKey: false,
      operations: [
        {
          method: 'POST',
          pathPrefix: '/orders',
          idempotent: false,
          classId: 'orders',
          priceMicros: ORDER_PRICE_MICROS,
        },
      ],
    },
  ]),
  [SectionName.Rules]: JSON.stringify([
    {
      model: MODEL,
      classId: 'assistant',
      promptMicrosPerToken: PROMPT_MICROS_PER_TOKEN,
      outputMicrosPerToken: OUTPUT_MICROS_PER_TOKEN,
      maxOutputTokens: MAX_OUTPUT_TOKENS,
    },
  ]),
  [SectionName.Classes]: classesText(50),
  [SectionName.Engines]: JSON.stringify(
    ENGINE_ADDRESSES.map((address, index) => ({
      engineId: `engine-${String(index + 1)}`,
      address,
      region: index < 2 ? NEAR_REGION : FAR_REGION,
      availabilityZone: ['near-a', 'near-b', 'far-a'][index],
      models: [MODEL],
      maxConcurrent: 16,
      honoursFencing: address !== UNFENCED_ENGINE_ADDRESS,
    })),
  ),
};

export function storedSections(): StoredSection[] {
  return Object.values(SectionName).map((name) => ({
    name,
    version: 1,
    text: sectionTexts[name],
    changedBy: 'operator',
    changedAtMs: 0,
    changeId: `first-${name}`,
  }));
}
