import type { ConfigurationDocument, StoredSection } from '@pimentostall/core';
import { SectionName, ServiceKind } from '@pimentostall/core';
import {
  CLASSES,
  ENGINE_COUNT,
  MAX_OUTPUT_TOKENS,
  MAX_RUNNING,
  MODEL_BATCH,
  MODEL_INTERACTIVE,
  ROUTER_COUNT,
} from './options.ts';

export const KEY_SHA256 = 'a'.repeat(64);
export const ORGANISATION_ID = 'school';
const FUNDED_MICROS = 1_000_000_000_000;
const MODELS = [MODEL_INTERACTIVE, MODEL_BATCH];

export const ENGINE_ADDRESSES: readonly string[] = Array.from(
  { length: ENGINE_COUNT },
  (_, index) => `127.1.0.${31 + index}:8400`,
);

const document: ConfigurationDocument = {
  organisations: [{ organisationId: ORGANISATION_ID, keySha256: [KEY_SHA256], entryWeight: 1 }],
  budgets: [{ organisationId: ORGANISATION_ID, topUps: [{ topUpId: 'first', amountMicros: FUNDED_MICROS }] }],
  services: [{ kind: ServiceKind.Model, serviceId: 'assistant', models: MODELS }],
  rules: MODELS.map((model) => ({
    model,
    classId: model,
    promptMicrosPerToken: 2,
    outputMicrosPerToken: 10,
    maxOutputTokens: MAX_OUTPUT_TOKENS,
  })),
  classes: CLASSES,
  engines: ENGINE_ADDRESSES.map((address, index) => ({
    engineId: `engine-${index}`,
    address,
    region: 'near',
    availabilityZone: 'near-a',
    models: MODELS,
    maxConcurrent: MAX_RUNNING / ROUTER_COUNT,
    honoursFencing: true,
  })),
};

/** Returns the sections as the table stores them. Their text is JSON, which is also valid YAML. */
export function storedSections(): StoredSection[] {
  return Object.values(SectionName).map((name) => ({
    name,
    version: 1,
    text: JSON.stringify(document[name]),
    changedBy: 'operator',
    changedAtMs: 0,
    changeId: `first-${name}`,
  }));
}
