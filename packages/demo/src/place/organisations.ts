import { createHash } from 'node:crypto';

/** An organisation of the demo with its traffic and its money. */
export interface DemoOrganisation {
  readonly organisationId: string;
  readonly bearerKey: string;
  readonly entryWeight: number;
  readonly firstTopUpMicros: number;
  /** Added during traffic; 0 for none. */
  readonly laterTopUpMicros: number;
  readonly callerCount: number;
}

const AMPLE_MICROS = 20_000_000;
const LARGE_COUNT = 2;
const MIDDLE_COUNT = 6;
/** Pays for about 40 chats at 350 micros, fewer than its callers ask for. */
const SMALL_MICROS = 15_000;

export function demoOrganisations(place: string): DemoOrganisation[] {
  const plain = { entryWeight: 1, laterTopUpMicros: 0, callerCount: 2 };
  const large = Array.from({ length: LARGE_COUNT }, (_, index) =>
    organisation(`${place}-large-${index + 1}`, AMPLE_MICROS, { ...plain, entryWeight: 3, callerCount: 8 }),
  );
  const middle = Array.from({ length: MIDDLE_COUNT }, (_, index) =>
    organisation(`${place}-middle-${index + 1}`, AMPLE_MICROS / 10, plain),
  );
  const small = organisation(`${place}-small`, SMALL_MICROS, { ...plain, laterTopUpMicros: SMALL_MICROS });
  return [...large, ...middle, small, organisation(`${place}-empty`, 0, { ...plain, callerCount: 1 })];
}

function organisation(
  organisationId: string,
  firstTopUpMicros: number,
  rest: Pick<DemoOrganisation, 'entryWeight' | 'laterTopUpMicros' | 'callerCount'>,
): DemoOrganisation {
  return { organisationId, bearerKey: `key-of-${organisationId}`, firstTopUpMicros, ...rest };
}

export function keySha256(bearerKey: string): string {
  return createHash('sha256').update(bearerKey).digest('hex');
}
