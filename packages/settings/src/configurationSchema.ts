import { SectionName, ServiceKind } from '@pimentostall/core';
import { z } from 'zod';
import {
  address,
  booleanField,
  identifier,
  integer,
  list,
  mapping,
  numberBetween,
  textField,
} from './schemaParts.ts';

const MAX_ENTRY_WEIGHT = 100;
const MAX_PRIORITY = 1_000;

const organisation = mapping({
  organisationId: identifier(),
  keySha256: list(textField('a SHA-256 of 64 lower-case hexadecimal digits', /^[0-9a-f]{64}$/)),
  entryWeight: numberBetween(1, MAX_ENTRY_WEIGHT).default(1),
});

const budget = mapping({
  organisationId: identifier(),
  topUps: list(mapping({ topUpId: identifier(), amountMicros: integer(1) })),
});

const operation = mapping({
  method: textField('an upper-case HTTP method', /^[A-Z]{1,20}$/),
  pathPrefix: textField('a path that starts with "/"', /^\/[^\s?#]*$/),
  idempotent: booleanField(),
  classId: identifier(),
  priceMicros: integer(0),
});

const service = z.discriminatedUnion(
  'kind',
  [
    mapping({
      kind: z.literal(ServiceKind.Model),
      serviceId: identifier(),
      models: list(identifier()),
    }),
    mapping({
      kind: z.literal(ServiceKind.Plain),
      serviceId: identifier(),
      addresses: list(address()),
      honoursKey: booleanField(),
      operations: list(operation),
    }),
  ],
  { error: 'a service of kind model or plain' },
);

const rule = mapping({
  model: identifier(),
  classId: identifier(),
  promptMicrosPerToken: integer(0),
  outputMicrosPerToken: integer(0),
  maxOutputTokens: integer(1),
});

const requestClass = mapping({
  classId: identifier(),
  priority: numberBetween(0, MAX_PRIORITY),
  batch: booleanField(),
  maxQueued: integer(0),
  deadlineMs: integer(1),
});

const engine = mapping({
  engineId: identifier(),
  address: address(),
  region: identifier(),
  availabilityZone: identifier(),
  models: list(identifier()),
  maxConcurrent: integer(1),
  honoursFencing: booleanField(),
});

/** An empty section is an empty list. */
function section<T extends z.ZodType>(item: T) {
  return z.preprocess((value) => value ?? [], list(item));
}

export const sectionSchemas = {
  [SectionName.Organisations]: section(organisation),
  [SectionName.Budgets]: section(budget),
  [SectionName.Services]: section(service),
  [SectionName.Rules]: section(rule),
  [SectionName.Classes]: section(requestClass),
  [SectionName.Engines]: section(engine),
};
