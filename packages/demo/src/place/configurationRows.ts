import type { ConfigurationDocument, JsonValue, RowWrite, StoredSection } from '@pimentostall/core';
import { SectionName, ServiceKind } from '@pimentostall/core';
import { stringify } from 'yaml';
import type { FleetPlan } from './fleetPlan.ts';
import type { DemoOrganisation } from './organisations.ts';
import { keySha256 } from './organisations.ts';
import { PRICES } from './prices.ts';

const CHAT_CLASS = 'chat';
const ORDER_CLASS = 'orders';
const LOOKUP_CLASS = 'lookups';
const FIRST_REVISION = 1;

export function configurationDocument(
  plan: FleetPlan,
  organisations: readonly DemoOrganisation[],
): ConfigurationDocument {
  const { place } = plan;
  const { orderMicros, lookupMicros, ...modelPrices } = PRICES;
  return {
    organisations: organisations.map(({ organisationId, bearerKey, entryWeight }) => {
      return { organisationId, keySha256: [keySha256(bearerKey)], entryWeight };
    }),
    budgets: budgets(organisations, false),
    services: [
      { kind: ServiceKind.Model, serviceId: place.modelServiceId, models: [place.model] },
      {
        kind: ServiceKind.Plain,
        serviceId: place.plainServiceId,
        addresses: plan.services.map(({ address }) => address),
        honoursKey: place.honoursKey,
        operations: [
          operation('POST', place.orderPath, false, ORDER_CLASS, orderMicros),
          operation('GET', place.lookupPath, true, LOOKUP_CLASS, lookupMicros),
        ],
      },
    ],
    rules: [{ model: place.model, classId: CHAT_CLASS, ...modelPrices }],
    classes: [
      { classId: CHAT_CLASS, priority: 10, batch: false, maxQueued: 200, deadlineMs: 10_000 },
      { classId: ORDER_CLASS, priority: 20, batch: false, maxQueued: 200, deadlineMs: 5_000 },
      { classId: LOOKUP_CLASS, priority: 20, batch: false, maxQueued: 200, deadlineMs: 5_000 },
    ],
    engines: plan.engines.map(({ upstreamId, address, region, availabilityZone }) => ({
      engineId: upstreamId,
      address,
      region,
      availabilityZone,
      models: [place.model],
      maxConcurrent: 16,
      honoursFencing: true,
    })),
  };
}

function operation(
  method: string,
  pathPrefix: string,
  idempotent: boolean,
  classId: string,
  priceMicros: number,
) {
  return { method, pathPrefix, idempotent, classId, priceMicros };
}

function budgets(organisations: readonly DemoOrganisation[], afterTopUp: boolean) {
  return organisations.map(({ organisationId, firstTopUpMicros, laterTopUpMicros }) => {
    const first = { topUpId: `${organisationId}-first`, amountMicros: firstTopUpMicros };
    const later = { topUpId: `${organisationId}-later`, amountMicros: laterTopUpMicros };
    const topUps = afterTopUp ? [first, later] : [first];
    return { organisationId, topUps: topUps.filter(({ amountMicros }) => amountMicros > 0) };
  });
}

/** The rows of the first revision. */
export function initialRows(document: ConfigurationDocument, nowMs: number): RowWrite[] {
  const sections = Object.values(SectionName).map((name) =>
    sectionRow({ ...sectionBase(name, nowMs), version: 1, text: stringify(document[name]) }),
  );
  return [...sections, revisionRow(FIRST_REVISION)];
}

/** The text of the budgets section with the later top-ups. */
export function toppedUpBudgetsText(organisations: readonly DemoOrganisation[]): string {
  return stringify(budgets(organisations, true));
}

/** The rows of the second revision, which only adds the later top-ups. */
export function topUpRows(organisations: readonly DemoOrganisation[], nowMs: number): RowWrite[] {
  const text = toppedUpBudgetsText(organisations);
  const section = { ...sectionBase(SectionName.Budgets, nowMs), version: 2, text, changeId: 'demo-top-up' };
  return [sectionRow(section), revisionRow(FIRST_REVISION + 1)];
}

function sectionBase(name: SectionName, nowMs: number) {
  return { name, changedBy: 'demo', changedAtMs: nowMs, changeId: `demo-first-${name}` };
}

function sectionRow(section: StoredSection): RowWrite {
  const value: JsonValue = { ...section };
  return { key: `config/section/${section.name}`, value };
}

function revisionRow(revision: number): RowWrite {
  return { key: 'config/revision', value: { revision } };
}
