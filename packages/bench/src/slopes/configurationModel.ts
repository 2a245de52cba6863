import type {
  ConfigurationDocument,
  EngineSection,
  StoredConfiguration,
  StoredSection,
} from '@pimentostall/core';
import { SectionName, ServiceKind } from '@pimentostall/core';
import { stringify } from 'yaml';
import type { RouterHarness } from './routerHarness.ts';
import { organisationId } from './fleetModel.ts';
import { TARGET } from './target.ts';

const ZONES = ['nairobi-a', 'nairobi-b', 'mombasa-a', 'mombasa-b'];
const ENGINES_PER_SUBNET = 200;
const MAX_CONCURRENT = 2_000;

const modelName = (index: number): string => `model-${index}`;
export const FIRST_MODEL = modelName(0);

export function createEngineSections(count: number): EngineSection[] {
  return Array.from({ length: count }, (_, index) => {
    const availabilityZone = ZONES[index % ZONES.length] ?? 'nairobi-a';
    return {
      engineId: `engine-${index}`,
      address: `127.2.${Math.floor(index / ENGINES_PER_SUBNET)}.${(index % ENGINES_PER_SUBNET) + 1}:8400`,
      region: availabilityZone.slice(0, -2),
      availabilityZone,
      // Every engine serves the first model, so that routing considers all engines as candidates for it.
      models: [...new Set([FIRST_MODEL, modelName(index % TARGET.models)])],
      maxConcurrent: MAX_CONCURRENT,
      honoursFencing: true,
    };
  });
}

export const organisationKeySha256 = (index: number): string => index.toString(16).padStart(64, '0');

/** Document with the given numbers of organisations, each with one budget and top-up, and of engines. */
export function createDocument(organisations: number, engines: number): ConfigurationDocument {
  const indexes = Array.from({ length: organisations }, (_, index) => index);
  const models = Array.from({ length: TARGET.models }, (_, index) => modelName(index));
  return {
    organisations: indexes.map((index) => ({
      organisationId: organisationId(index),
      keySha256: [organisationKeySha256(index)],
      entryWeight: 1,
    })),
    budgets: indexes.map((index) => ({
      organisationId: organisationId(index),
      topUps: [{ topUpId: '2026-12-first', amountMicros: 50_000_000 }],
    })),
    services: [{ kind: ServiceKind.Model, serviceId: 'assistant', models }],
    rules: models.map((model) => ({
      model,
      classId: 'chat',
      promptMicrosPerToken: 2,
      outputMicrosPerToken: 10,
      maxOutputTokens: 512,
    })),
    classes: [{ classId: 'chat', priority: 10, batch: false, maxQueued: 100, deadlineMs: 60_000 }],
    engines: createEngineSections(engines),
  };
}

/** The document in its stored form: one YAML text per section. */
export function createStoredConfiguration(
  document: ConfigurationDocument,
  revision: number,
): StoredConfiguration {
  const sections = Object.values(SectionName).map((name): StoredSection => ({
    name,
    version: 1,
    text: stringify(document[name]),
    changedBy: 'ana',
    changedAtMs: 1_700_000_000_000,
    changeId: `change-${revision}`,
  }));
  return { revision, sections };
}

/** Activates a document without its stored text, for measurements that read only the parsed document. */
export function applyDocument(router: RouterHarness, part: Partial<ConfigurationDocument>): void {
  const document = { ...createDocument(0, 0), ...part };
  router.core.board.configuration = {
    revision: 1,
    stored: { revision: 1, sections: [] },
    document,
    organisationById: new Map(document.organisations.map((each) => [each.organisationId, each])),
    organisationByKeySha256: new Map(
      document.organisations.flatMap((each) => each.keySha256.map((key) => [key, each] as const)),
    ),
    ruleByModel: new Map(document.rules.map((rule) => [rule.model, rule])),
    plainServiceById: new Map(),
  };
}
