import type { ActiveConfiguration } from '../configuration/types.ts';
import type { CoreContext } from '../context.ts';
import type { ClassSection, OrganisationSection } from '../types/configuration.ts';
import type { CallerMetadata } from '../types/requests.ts';
import { RefusalReason } from '../types/verdict.ts';

/** An authenticated request with the configuration that was active when it arrived. */
export interface AdmittedRequest {
  readonly exchangeId: string;
  readonly metadata: CallerMetadata;
  readonly organisation: OrganisationSection;
  readonly configuration: ActiveConfiguration;
}

export type Admission = { readonly admitted: AdmittedRequest } | { readonly refusal: RefusalReason };

/** Authenticates a request. Without a configuration no key can be checked, so the router answers "not ready". */
export function admitRequest(context: CoreContext, exchangeId: string, metadata: CallerMetadata): Admission {
  const { configuration } = context.board;
  if (configuration === undefined) {
    return { refusal: RefusalReason.NotReady };
  }
  const organisation =
    metadata.keySha256 === undefined
      ? undefined
      : configuration.organisationByKeySha256.get(metadata.keySha256);
  if (organisation === undefined) {
    return { refusal: RefusalReason.Unauthenticated };
  }
  return { admitted: { exchangeId, metadata, organisation, configuration } };
}

/**
 * Returns the section of a request class. A class that is missing from the configuration is treated as a batch class
 * with priority 0, no queue and the default deadline.
 */
export function resolveClass(
  context: CoreContext,
  configuration: ActiveConfiguration,
  classId: string,
): ClassSection {
  const found = configuration.document.classes.find((section) => section.classId === classId);
  const deadlineMs = context.options.requestDeadlineMs;
  return found ?? { classId, priority: 0, batch: true, maxQueued: 0, deadlineMs };
}
