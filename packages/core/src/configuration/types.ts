import type {
  ConfigurationDocument,
  ModelRule,
  OrganisationSection,
  PlainServiceSection,
  StoredConfiguration,
} from '../types/configuration.ts';

/** The configuration in force, with the indexes that requests use. */
export interface ActiveConfiguration {
  readonly revision: number;
  readonly stored: StoredConfiguration;
  readonly document: ConfigurationDocument;
  readonly organisationByKeySha256: ReadonlyMap<string, OrganisationSection>;
  readonly organisationById: ReadonlyMap<string, OrganisationSection>;
  readonly ruleByModel: ReadonlyMap<string, ModelRule>;
  readonly plainServiceById: ReadonlyMap<string, PlainServiceSection>;
}

/** A row `operator/{keySha256}`: who may change which sections. */
export interface Operator {
  readonly operatorId: string;
  readonly sections: readonly string[];
}
