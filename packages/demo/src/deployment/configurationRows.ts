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
const INITIAL_REVISION = 1;

export function configurationDocument(
  plan: FleetPlan,
  organisations: readonly DemoOrganisation[],
): ConfigurationDocument {
  const { deployment } = plan;
  const { orderMicros, lookupMicros, ...modelPrices } = PRICES;
  return {
    organisations: organisations.map(({ organisationId, bearerKey, entryWeight }) => {
      return { organisationId, keySha256: [keySha256(bearerKey)], entryWeight };
    }),
    budgets: budgets(organisations, false),
    services: [
      { kind: ServiceKind.Model, serviceId: deployment.modelServiceId, models: [deployment.model] },
      {
        kind: ServiceKind.Plain,
        serviceId: deployment.plainServiceId,
        addresses: plan.services.map(({ address }) => address),
        honoursKey: deployment.honoursKey,
        operations: [
          createOperation('POST', deployment.orderPath, false, ORDER_CLASS, orderMicros),
          createOperation('GET', deployment.lookupPath, true, LOOKUP_CLASS, lookupMicros),
        ],
      },
    ],
    rules: [{ model: deployment.model, classId: CHAT_CLASS, ...modelPrices }],
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
      models: [deployment.model],
      maxConcurrent: 16,
      honoursFencing: true,
    })),
  };
}

function createOperation(
  method: string,
  pathPrefix: string,
  idempotent: boolean,
  classId: string,
  priceMicros: number,
) {
  return { method, pathPrefix, idempotent, classId, priceMicros };
}

function budgets(organisations: readonly DemoOrganisation[], includeLaterTopUps: boolean) {
  return organisations.map(({ organisationId, firstTopUpMicros, laterTopUpMicros }) => {
    const first = { topUpId: `${organisationId}-first`, amountMicros: firstTopUpMicros };
    const later = { topUpId: `${organisationId}-later`, amountMicros: laterTopUpMicros };
    const topUps = includeLaterTopUps ? [first, later] : [first];
    return { organisationId, topUps: topUps.filter(({ amountMicros }) => amountMicros > 0) };
  });
}

/** Rows of the initial configuration revision. */
export function initialRows(document: ConfigurationDocument, nowMs: number): RowWrite[] {
  const sections = Object.values(SectionName).map((name) =>
    createSectionRow({ ...createSection(name, nowMs), version: 1, text: stringify(document[name]) }),
  );
  return [...sections, createRevisionRow(INITIAL_REVISION)];
}

/** YAML of the budgets section with both top-ups of each organisation. */
export function budgetsTextWithLaterTopUps(organisations: readonly DemoOrganisation[]): string {
  return stringify(budgets(organisations, true));
}

/** Rows of the second configuration revision, which only adds the later top-ups. */
export function laterTopUpRows(organisations: readonly DemoOrganisation[], nowMs: number): RowWrite[] {
  const text = budgetsTextWithLaterTopUps(organisations);
  const section = { ...createSection(SectionName.Budgets, nowMs), version: 2, text, changeId: 'demo-top-up' };
  return [createSectionRow(section), createRevisionRow(INITIAL_REVISION + 1)];
}

function createSection(name: SectionName, nowMs: number) {
  return { name, changedBy: 'demo', changedAtMs: nowMs, changeId: `demo-first-${name}` };
}

function createSectionRow(section: StoredSection): RowWrite {
  const value: JsonValue = { ...section };
  return { key: `config/section/${section.name}`, value };
}

function createRevisionRow(revision: number): RowWrite {
  return { key: 'config/revision', value: { revision } };
}
