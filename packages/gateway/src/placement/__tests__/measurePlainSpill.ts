import type { PlainSummary } from './plainSite.ts';
import { PlainSite, summarisePlain } from './plainSite.ts';
import { DEMANDS } from './spillSite.ts';

// Prints response times and traffic of a plain service with one instance in each zone, with the constant costs and with
// a decision about leaving the zone:
// node --import tsx packages/gateway/src/placement/__tests__/measurePlainSpill.ts

const SINCE_MS = 3_000;
const UNTIL_MS = 12_000;
const SEEDS = [1, 2, 3];

for (const requestsPerSecond of [600, 900, 1_300]) {
  for (const [name, demand] of Object.entries(DEMANDS)) {
    for (const isSpilling of [false, true]) {
      const summaries: PlainSummary[] = [];
      for (const seed of SEEDS) {
        const site = new PlainSite({ isSpilling, demand, seed, requestsPerSecond });
        await site.events.advanceTo(UNTIL_MS);
        summaries.push(summarisePlain(site, SINCE_MS, UNTIL_MS - 1_000));
      }
      const mean = (name: keyof PlainSummary): number =>
        summaries.reduce((sum, summary) => sum + summary[name], 0) / summaries.length;
      process.stdout.write(
        `${requestsPerSecond}/s, ${name}, ${isSpilling ? 'spill' : 'constant'}: ` +
          `${mean('medianMs').toFixed(0)}/${mean('p90Ms').toFixed(0)}/${mean('meanMs').toFixed(0)} ms, ` +
          `${mean('failed').toFixed(0)} failed; ${(100 * mean('otherZone')).toFixed(0)}% zones, ` +
          `${(100 * mean('otherRegion')).toFixed(0)}% region\n`,
      );
    }
  }
}
