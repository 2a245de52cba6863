import { createHash } from 'node:crypto';

/** An organisation of the demo with its budget and its number of callers. */
export interface DemoOrganisation {
  readonly organisationId: string;
  readonly bearerKey: string;
  readonly entryWeight: number;
  readonly firstTopUpMicros: number;
  /** Added while the callers send requests; 0 for none. */
  readonly laterTopUpMicros: number;
  readonly callerCount: number;
}

const LARGE_TOP_UP_MICROS = 20_000_000;
const LARGE_COUNT = 2;
const MIDDLE_COUNT = 6;
/** Covers about 40 chats at 350 micros, fewer than the callers request, so the budget runs out. */
const SMALL_TOP_UP_MICROS = 15_000;

export function demoOrganisations(deployment: string): DemoOrganisation[] {
  const plain = { entryWeight: 1, laterTopUpMicros: 0, callerCount: 2 };
  const large = Array.from({ length: LARGE_COUNT }, (_, index) =>
    organisation(`${deployment}-large-${index + 1}`, LARGE_TOP_UP_MICROS, {
      ...plain,
      entryWeight: 3,
      callerCount: 8,
    }),
  );
  const middle = Array.from({ length: MIDDLE_COUNT }, (_, index) =>
    organisation(`${deployment}-middle-${index + 1}`, LARGE_TOP_UP_MICROS / 10, plain),
  );
  const small = organisation(`${deployment}-small`, SMALL_TOP_UP_MICROS, {
    ...plain,
    laterTopUpMicros: SMALL_TOP_UP_MICROS,
  });
  return [...large, ...middle, small, organisation(`${deployment}-empty`, 0, { ...plain, callerCount: 1 })];
}

function organisation(
  organisationId: string,
  firstTopUpMicros: number,
  traffic: Pick<DemoOrganisation, 'entryWeight' | 'laterTopUpMicros' | 'callerCount'>,
): DemoOrganisation {
  return { organisationId, bearerKey: `key-of-${organisationId}`, firstTopUpMicros, ...traffic };
}

export function keySha256(bearerKey: string): string {
  return createHash('sha256').update(bearerKey).digest('hex');
}
