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

interface Named {
  readonly path: FieldPath;
  readonly id: string;
}

/** Finds duplicate identifiers, dangling references and overlapping operations in a document. */
export function checkReferences(document: ConfigurationDocument): ReferenceIssue[] {
  return [...checkDuplicates(document), ...checkTargets(document), ...checkOperations(document)];
}

function ids<T>(items: readonly T[], field: string, read: (item: T) => string): Named[] {
  return items.map((item, index) => ({ path: [index, field], id: read(item) }));
}

function nested<T>(items: readonly T[], field: string, read: (item: T) => readonly string[]): Named[] {
  return items.flatMap((item, index) => read(item).map((id, at) => ({ path: [index, field, at], id })));
}

function checkDuplicates(document: ConfigurationDocument): ReferenceIssue[] {
  const { organisations, budgets, services, rules, classes, engines } = document;
  const topUps = budgets.map(({ topUps: list }, index) =>
    list.map(({ topUpId: id }, at) => ({ path: [index, 'topUps', at, 'topUpId'], id })),
  );
  return [
    ...duplicates(
      SectionName.Organisations,
      ids(organisations, 'organisationId', (item) => item.organisationId),
    ),
    ...duplicates(
      SectionName.Organisations,
      nested(organisations, 'keySha256', (item) => item.keySha256),
    ),
    ...duplicates(
      SectionName.Budgets,
      ids(budgets, 'organisationId', (item) => item.organisationId),
    ),
    ...topUps.flatMap((list) => duplicates(SectionName.Budgets, list)),
    ...duplicates(
      SectionName.Services,
      ids(services, 'serviceId', (item) => item.serviceId),
    ),
    ...duplicates(SectionName.Services, serviceModels(document)),
    ...duplicates(
      SectionName.Rules,
      ids(rules, 'model', (item) => item.model),
    ),
    ...duplicates(
      SectionName.Classes,
      ids(classes, 'classId', (item) => item.classId),
    ),
    ...duplicates(
      SectionName.Engines,
      ids(engines, 'engineId', (item) => item.engineId),
    ),
    ...duplicates(
      SectionName.Engines,
      ids(engines, 'address', (item) => item.address),
    ),
  ];
}

function duplicates(section: SectionName, named: readonly Named[]): ReferenceIssue[] {
  const seen = new Set<string>();
  return named
    .filter(({ id }) => seen.size === seen.add(id).size)
    .map(({ path, id }) => ({
      section,
      path,
      expected: `a unique value, but "${id}" is already used`,
      advice: 'rename or remove one of the duplicates',
    }));
}

function serviceModels({ services }: ConfigurationDocument): Named[] {
  return nested(services, 'models', (item) => (item.kind === ServiceKind.Model ? item.models : []));
}

function checkTargets(document: ConfigurationDocument): ReferenceIssue[] {
  const { organisations, budgets, rules, classes, engines } = document;
  const organisationIds = new Set(organisations.map((item) => item.organisationId));
  const classIds = new Set(classes.map((item) => item.classId));
  const engineModels = new Set(engines.flatMap((item) => item.models));
  const ruleModels = new Set(rules.map((item) => item.model));
  const budgetOwners = ids(budgets, 'organisationId', (item) => item.organisationId);
  const ruleClasses = ids(rules, 'classId', (item) => item.classId);
  const models = serviceModels(document);
  return [
    ...missing(
      SectionName.Budgets,
      budgetOwners,
      organisationIds,
      'an organisation defined in section organisations',
    ),
    ...missing(SectionName.Rules, ruleClasses, classIds, 'a class defined in section classes'),
    ...missing(
      SectionName.Services,
      operationClasses(document),
      classIds,
      'a class defined in section classes',
    ),
    ...missing(SectionName.Services, models, engineModels, 'a model served by an engine in section engines'),
    ...missing(SectionName.Services, models, ruleModels, 'a model with a price in section rules'),
  ];
}

function operationClasses({ services }: ConfigurationDocument): Named[] {
  return services.flatMap((service, index) =>
    service.kind === ServiceKind.Plain
      ? service.operations.map(({ classId: id }, at) => ({ path: [index, 'operations', at, 'classId'], id }))
      : [],
  );
}

function missing(
  section: SectionName,
  named: readonly Named[],
  known: ReadonlySet<string>,
  expected: string,
): ReferenceIssue[] {
  return named
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
      ? service.operations.flatMap((operation, at) => {
          const earlier = service.operations.slice(0, at).find((other) => overlap(operation, other));
          return earlier === undefined ? [] : [overlapIssue(index, at, earlier)];
        })
      : [],
  );
}

function overlapIssue(service: number, operation: number, earlier: OperationRule): ReferenceIssue {
  return {
    section: SectionName.Services,
    path: [service, 'operations', operation, 'pathPrefix'],
    expected: `a prefix that does not overlap ${earlier.method} ${earlier.pathPrefix}`,
    advice: 'change one of the prefixes, so that each call has exactly one price',
  };
}

function overlap(a: OperationRule, b: OperationRule): boolean {
  const related = a.pathPrefix.startsWith(b.pathPrefix) || b.pathPrefix.startsWith(a.pathPrefix);
  return a.method === b.method && related;
}
