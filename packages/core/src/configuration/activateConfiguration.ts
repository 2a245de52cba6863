import type { CoreContext } from '../context.ts';
import { logError, logInfo } from '../log.ts';
import type { ConfigurationDocument, StoredConfiguration } from '../types/configuration.ts';
import { ServiceKind } from '../types/configuration.ts';
import type { ActiveConfiguration } from './types.ts';

/** Returns the highest revision that was activated or rejected, and so need not be fetched again. */
export function processedRevision(context: CoreContext): number {
  return Math.max(context.board.configuration?.revision ?? 0, context.board.rejectedRevision);
}

/** Activates a newer revision as a whole. Ignores an older or equal one, and rejects one that cannot be parsed. */
export function activateConfiguration(context: CoreContext, stored: StoredConfiguration): void {
  if (stored.revision <= processedRevision(context)) {
    return;
  }
  const parsed = context.parseConfiguration(stored.sections);
  if (parsed.isErr()) {
    rejectConfiguration(context, stored.revision, parsed.error);
    return;
  }
  if (context.board.configuration === undefined) {
    context.board.routing.probeRequests.push(undefined);
  }
  context.board.configuration = createActiveConfiguration(stored, parsed.value);
  logInfo(context, 'Activated a configuration revision.', { revision: stored.revision });
}

function rejectConfiguration(
  context: CoreContext,
  revision: number,
  issues: readonly { readonly section: string; readonly line: number; readonly expected: string }[],
): void {
  const firstIssue = issues[0];
  context.board.rejectedRevision = revision;
  logError(context, 'Rejected a configuration revision that cannot be parsed. Correct the section.', {
    revision,
    revisionInForce: context.board.configuration?.revision ?? 0,
    faultCount: issues.length,
    section: firstIssue?.section ?? '',
    line: firstIssue?.line ?? 0,
    expected: firstIssue?.expected ?? '',
  });
}

function createActiveConfiguration(
  stored: StoredConfiguration,
  document: ConfigurationDocument,
): ActiveConfiguration {
  const { organisations, rules, services } = document;
  const plainServices = services.filter((service) => service.kind === ServiceKind.Plain);
  return {
    revision: stored.revision,
    stored,
    document,
    organisationByKeySha256: new Map(
      organisations.flatMap((organisation) =>
        organisation.keySha256.map((key) => [key, organisation] as const),
      ),
    ),
    organisationById: new Map(
      organisations.map((organisation) => [organisation.organisationId, organisation]),
    ),
    ruleByModel: new Map(rules.map((rule) => [rule.model, rule])),
    plainServiceById: new Map(plainServices.map((service) => [service.serviceId, service])),
  };
}
