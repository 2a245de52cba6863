import { summarise } from '../../engineLoad/__tests__/simulatedSite.ts';
import { DEMANDS, runSpillSite, summariseTraffic } from './spillSite.ts';

// Prints times to the first event and traffic with the constant costs and with a decision about leaving the zone:
// node --import tsx packages/gateway/src/placement/__tests__/measureSpill.ts [requests per second]

const SINCE_MS = 3_000;
const UNTIL_MS = 12_000;
const REQUESTS_PER_SECOND = Number(process.argv[2] ?? 220);
const SEED = Number(process.argv[3] ?? 1);

const percent = (fraction: number): string => `${(100 * fraction).toFixed(0)}%`;

for (const [name, demand] of Object.entries(DEMANDS)) {
  for (const isSpilling of [false, true]) {
    const options = { demand, seed: SEED, requestsPerSecond: REQUESTS_PER_SECOND };
    const { site, states, steps } = await runSpillSite(isSpilling, options, UNTIL_MS);
    const all = summarise(site, SINCE_MS);
    const large = summarise(site, SINCE_MS, 0);
    const traffic = summariseTraffic(site, SINCE_MS);
    const fractions = [...states.values()].map(
      ({ services }) => services.get('engines')?.otherZonesFraction ?? 0,
    );
    const meanFraction = fractions.reduce((sum, value) => sum + value, 0) / Math.max(1, fractions.length);
    process.stdout.write(
      `${name}, ${isSpilling ? 'spill' : 'constant'}: large ${large.medianMs}/${large.p90Ms}/${large.meanMs} ms, ` +
        `all ${all.medianMs}/${all.p90Ms}/${all.meanMs} ms; bytes ${percent(traffic.otherZoneBytes)} zones, ` +
        `${percent(traffic.otherRegionBytes)} region; requests ${percent(traffic.otherZoneRequests)}, ` +
        `${percent(traffic.otherRegionRequests)}; ${steps} steps, fraction ${meanFraction.toFixed(2)}\n`,
    );
  }
}
