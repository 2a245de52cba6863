import type { CoreContext } from '../context.ts';
import { logError, logInfo } from '../log.ts';
import type { ConfigurationDocument, StoredConfiguration } from '../types/configuration.ts';
import { ServiceKind } from '../types/configuration.ts';
import type { ActiveConfiguration } from './types.ts';

/** The highest revision that needs no further fetch: in force, or seen and not parsable. */
export function settledRevision(context: CoreContext): number {
  return Math.max(context.board.configuration?.revision ?? 0, context.board.rejectedRevision);
}

/** Puts a higher revision in force as a whole. A lower, equal or unparsable one changes nothing. */
export function takeConfiguration(context: CoreContext, stored: StoredConfiguration): void {
  if (stored.revision <= settledRevision(context)) {
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
  logInfo(context, 'A configuration revision is in force.', { revision: stored.revision });
}

function rejectConfiguration(
  context: CoreContext,
  revision: number,
  faults: readonly { readonly section: string; readonly line: number; readonly expected: string }[],
): void {
  const first = faults[0];
  context.board.rejectedRevision = revision;
  logError(context, 'A configuration revision cannot be parsed and is not taken. Correct the section.', {
    revision,
    revisionInForce: context.board.configuration?.revision ?? 0,
    faultCount: faults.length,
    section: first?.section ?? '',
    line: first?.line ?? 0,
    expected: first?.expected ?? '',
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
