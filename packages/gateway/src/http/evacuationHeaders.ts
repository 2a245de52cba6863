import type { IncomingHttpHeaders } from 'node:http';
import type { EvacuationReading } from '../evacuation/evacuationState.ts';

const ZONES_HEADER = 'evacuated-zones';
const ZONES_VERSION_HEADER = 'evacuated-zones-version';
/** Version of the store at which the polling router read the evacuated zones. */
export const ZONES_VERSION_PARAMETER = 'zones-version';

/** Encodes the evacuated zones in headers of a relay's reply; no headers if they are not known. */
export function encodeEvacuations(reading: EvacuationReading | undefined): Record<string, string | number> {
  return reading === undefined
    ? {}
    : {
        [ZONES_HEADER]: reading.zones.map((zone) => encodeURIComponent(zone)).join(','),
        [ZONES_VERSION_HEADER]: reading.version,
      };
}

/** Decodes the evacuated zones; undefined if the relay does not know them, or if the headers are malformed. */
export function decodeEvacuations(headers: IncomingHttpHeaders): EvacuationReading | undefined {
  const names = headers[ZONES_HEADER];
  const version = headers[ZONES_VERSION_HEADER];
  if (typeof names !== 'string' || typeof version !== 'string' || !/^\d{1,16}$/.test(version)) {
    return undefined;
  }
  try {
    const zones = names.split(',').filter((name) => name !== '');
    return { zones: zones.map((name) => decodeURIComponent(name)), version: Number(version) };
  } catch {
    // A name with an invalid escape: what is known is kept.
    return undefined;
  }
}
