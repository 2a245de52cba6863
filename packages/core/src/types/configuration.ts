import type { Result } from 'neverthrow';

/** The sections of the configuration document. Each is owned by one team and has its own version. */
export enum SectionName {
  Organisations = 'organisations',
  Budgets = 'budgets',
  Services = 'services',
  Rules = 'rules',
  Classes = 'classes',
  Engines = 'engines',
}

export enum ServiceKind {
  Model = 'model',
  Plain = 'plain',
}

export interface OrganisationSection {
  readonly organisationId: string;
  /** SHA-256 of each bearer key, in lower-case hexadecimal. */
  readonly keySha256: readonly string[];
  /** Multiplies the number of entry addresses; 1 for a small organisation. */
  readonly entryWeight: number;
}

export interface TopUp {
  readonly topUpId: string;
  readonly amountMicros: number;
}

/** The budget of an organisation: the sum of its top-ups. */
export interface BudgetSection {
  readonly organisationId: string;
  readonly topUps: readonly TopUp[];
}

/** An operation of a plain service, matched by method and path prefix. */
export interface OperationRule {
  readonly method: string;
  readonly pathPrefix: string;
  readonly idempotent: boolean;
  readonly classId: string;
  readonly priceMicros: number;
}

export interface ModelServiceSection {
  readonly kind: ServiceKind.Model;
  readonly serviceId: string;
  readonly models: readonly string[];
}

export interface PlainServiceSection {
  readonly kind: ServiceKind.Plain;
  readonly serviceId: string;
  readonly addresses: readonly string[];
  /** The service runs requests that share an Idempotency-Key only once. */
  readonly honoursKey: boolean;
  readonly operations: readonly OperationRule[];
}

export type ServiceSection = ModelServiceSection | PlainServiceSection;

/** The price of a model and the class of its requests. */
export interface ModelRule {
  readonly model: string;
  readonly classId: string;
  readonly promptMicrosPerToken: number;
  readonly outputMicrosPerToken: number;
  readonly maxOutputTokens: number;
}

export interface ClassSection {
  readonly classId: string;
  /** Classes with a higher value run first. */
  readonly priority: number;
  /** Batch classes are shed before interactive classes. */
  readonly batch: boolean;
  readonly maxQueued: number;
  readonly deadlineMs: number;
}

export interface EngineSection {
  readonly engineId: string;
  readonly address: string;
  readonly region: string;
  readonly availabilityZone: string;
  readonly models: readonly string[];
  readonly maxConcurrent: number;
  readonly honoursFencing: boolean;
}

/** The validated configuration document. */
export interface ConfigurationDocument {
  readonly organisations: readonly OrganisationSection[];
  readonly budgets: readonly BudgetSection[];
  readonly services: readonly ServiceSection[];
  readonly rules: readonly ModelRule[];
  readonly classes: readonly ClassSection[];
  readonly engines: readonly EngineSection[];
}

/** A section as stored. `text` is its YAML source, unchanged from what the owning team submitted. */
export interface StoredSection {
  readonly name: SectionName;
  readonly version: number;
  readonly text: string;
  readonly changedBy: string;
  readonly changedAtMs: number;
  readonly changeId: string;
}

/** All sections at one revision. Revisions increase monotonically. */
export interface StoredConfiguration {
  readonly revision: number;
  readonly sections: readonly StoredSection[];
}

/** A configuration issue with its position in the section's text. Lines and columns start at 1. */
export interface ConfigurationIssue {
  readonly section: SectionName;
  readonly line: number;
  readonly column: number;
  /** Path of the field, for example `budgets[2].topUps[0].amountMicros`. */
  readonly field: string;
  readonly expected: string;
  readonly advice: string;
}

/** Validates all sections as one document. Injected, so that the core does not depend on a schema library. */
export type ConfigurationParser = (
  sections: readonly StoredSection[],
) => Result<ConfigurationDocument, readonly ConfigurationIssue[]>;
