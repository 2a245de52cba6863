import type {
  ConfigurationDocument,
  ModelRule,
  OrganisationSection,
  PlainServiceSection,
  StoredConfiguration,
} from '../types/configuration.ts';

/** The active configuration, with indexes for request handling. */
export interface ActiveConfiguration {
  readonly revision: number;
  readonly stored: StoredConfiguration;
  readonly document: ConfigurationDocument;
  readonly organisationByKeySha256: ReadonlyMap<string, OrganisationSection>;
  readonly organisationById: ReadonlyMap<string, OrganisationSection>;
  readonly ruleByModel: ReadonlyMap<string, ModelRule>;
  readonly plainServiceById: ReadonlyMap<string, PlainServiceSection>;
}

/** Value of a row `operator/{keySha256}`: an operator and the sections that it may change. */
export interface Operator {
  readonly operatorId: string;
  readonly sections: readonly string[];
}
