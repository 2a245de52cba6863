import type { ConfigurationDocument, OperationRule } from '@pimentostall/core';
import { SectionName, ServiceKind } from '@pimentostall/core';
import type { FieldPath } from './yamlSource.ts';

/** An inconsistency between entries, before its position in the section's text is known. */
export interface ReferenceIssue {
  readonly section: SectionName;
  readonly path: FieldPath;
  readonly expected: string;
  readonly advice: string;
}

interface LocatedId {
  readonly path: FieldPath;
  readonly id: string;
}

/** Finds duplicate identifiers, dangling references and overlapping operations in a document. */
export function checkReferences(document: ConfigurationDocument): ReferenceIssue[] {
  return [...checkDuplicates(document), ...checkReferenceTargets(document), ...checkOperations(document)];
}

function collectIds<T>(items: readonly T[], field: string, read: (item: T) => string): LocatedId[] {
  return items.map((item, index) => ({ path: [index, field], id: read(item) }));
}

function collectNestedIds<T>(
  items: readonly T[],
  field: string,
  read: (item: T) => readonly string[],
): LocatedId[] {
  return items.flatMap((item, index) =>
    read(item).map((id, itemIndex) => ({ path: [index, field, itemIndex], id })),
  );
}

function checkDuplicates(document: ConfigurationDocument): ReferenceIssue[] {
  const { organisations, budgets, services, rules, classes, engines } = document;
  const topUps = budgets.map(({ topUps: list }, index) =>
    list.map(({ topUpId: id }, topUpIndex) => ({ path: [index, 'topUps', topUpIndex, 'topUpId'], id })),
  );
  return [
    ...findDuplicates(
      SectionName.Organisations,
      collectIds(organisations, 'organisationId', (item) => item.organisationId),
    ),
    ...findDuplicates(
      SectionName.Organisations,
      collectNestedIds(organisations, 'keySha256', (item) => item.keySha256),
    ),
    ...findDuplicates(
      SectionName.Budgets,
      collectIds(budgets, 'organisationId', (item) => item.organisationId),
    ),
    ...topUps.flatMap((list) => findDuplicates(SectionName.Budgets, list)),
    ...findDuplicates(
      SectionName.Services,
      collectIds(services, 'serviceId', (item) => item.serviceId),
    ),
    ...findDuplicates(SectionName.Services, serviceModels(document)),
    ...findDuplicates(
      SectionName.Rules,
      collectIds(rules, 'model', (item) => item.model),
    ),
    ...findDuplicates(
      SectionName.Classes,
      collectIds(classes, 'classId', (item) => item.classId),
    ),
    ...findDuplicates(
      SectionName.Engines,
      collectIds(engines, 'engineId', (item) => item.engineId),
    ),
    ...findDuplicates(
      SectionName.Engines,
      collectIds(engines, 'address', (item) => item.address),
    ),
  ];
}

function findDuplicates(section: SectionName, locatedIds: readonly LocatedId[]): ReferenceIssue[] {
  const seen = new Set<string>();
  return locatedIds
    .filter(({ id }) => seen.size === seen.add(id).size)
    .map(({ path, id }) => ({
      section,
      path,
      expected: `a unique value, but "${id}" is already used`,
      advice: 'rename or remove one of the duplicates',
    }));
}

function serviceModels({ services }: ConfigurationDocument): LocatedId[] {
  return collectNestedIds(services, 'models', (item) => (item.kind === ServiceKind.Model ? item.models : []));
}

function checkReferenceTargets(document: ConfigurationDocument): ReferenceIssue[] {
  const { organisations, budgets, rules, classes, engines } = document;
  const organisationIds = new Set(organisations.map((item) => item.organisationId));
  const classIds = new Set(classes.map((item) => item.classId));
  const engineModels = new Set(engines.flatMap((item) => item.models));
  const ruleModels = new Set(rules.map((item) => item.model));
  const budgetOwners = collectIds(budgets, 'organisationId', (item) => item.organisationId);
  const ruleClasses = collectIds(rules, 'classId', (item) => item.classId);
  const models = serviceModels(document);
  return [
    ...findDanglingReferences(
      SectionName.Budgets,
      budgetOwners,
      organisationIds,
      'an organisation defined in section organisations',
    ),
    ...findDanglingReferences(SectionName.Rules, ruleClasses, classIds, 'a class defined in section classes'),
    ...findDanglingReferences(
      SectionName.Services,
      operationClasses(document),
      classIds,
      'a class defined in section classes',
    ),
    ...findDanglingReferences(
      SectionName.Services,
      models,
      engineModels,
      'a model served by an engine in section engines',
    ),
    ...findDanglingReferences(
      SectionName.Services,
      models,
      ruleModels,
      'a model with a price in section rules',
    ),
  ];
}

function operationClasses({ services }: ConfigurationDocument): LocatedId[] {
  return services.flatMap((service, index) =>
    service.kind === ServiceKind.Plain
      ? service.operations.map(({ classId: id }, operationIndex) => ({
          path: [index, 'operations', operationIndex, 'classId'],
          id,
        }))
      : [],
  );
}

function findDanglingReferences(
  section: SectionName,
  locatedIds: readonly LocatedId[],
  known: ReadonlySet<string>,
  expected: string,
): ReferenceIssue[] {
  return locatedIds
    .filter(({ id }) => !known.has(id))
    .map(({ path, id }) => ({
      section,
      path,
      expected,
      advice: `define "${id}" there first or correct the name`,
    }));
}

function checkOperations({ services }: ConfigurationDocument): ReferenceIssue[] {
  return services.flatMap((service, index) =>
    service.kind === ServiceKind.Plain
      ? service.operations.flatMap((operation, operationIndex) => {
          const earlier = service.operations
            .slice(0, operationIndex)
            .find((other) => operationsOverlap(operation, other));
          return earlier === undefined ? [] : [overlapIssue(index, operationIndex, earlier)];
        })
      : [],
  );
}

function overlapIssue(serviceIndex: number, operationIndex: number, earlier: OperationRule): ReferenceIssue {
  return {
    section: SectionName.Services,
    path: [serviceIndex, 'operations', operationIndex, 'pathPrefix'],
    expected: `a prefix that does not overlap ${earlier.method} ${earlier.pathPrefix}`,
    advice: 'change one of the prefixes, so that each call has exactly one price',
  };
}

function operationsOverlap(a: OperationRule, b: OperationRule): boolean {
  const prefixesOverlap = a.pathPrefix.startsWith(b.pathPrefix) || b.pathPrefix.startsWith(a.pathPrefix);
  return a.method === b.method && prefixesOverlap;
}
