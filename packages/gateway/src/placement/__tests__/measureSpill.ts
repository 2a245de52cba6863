import type { SimulatedSite } from '../../engineLoad/__tests__/simulatedSite.ts';
import { summarise } from '../../engineLoad/__tests__/simulatedSite.ts';
import { DEMANDS, runSpillSite, summariseTraffic } from './spillSite.ts';

// Prints times to the first event and traffic with the constant costs and with a decision about leaving the zone:
// node --import tsx packages/gateway/src/placement/__tests__/measureSpill.ts [requests per second]

const SINCE_MS = 3_000;
const UNTIL_MS = 12_000;
const SEEDS = [1, 2, 3];
const REQUESTS_PER_SECOND = Number(process.argv[2] ?? 220);

function meanOf(sites: readonly SimulatedSite[], valueOf: (site: SimulatedSite) => number): number {
  return sites.reduce((sum, site) => sum + valueOf(site), 0) / sites.length;
}

function times(sites: readonly SimulatedSite[], classIndex?: number): string {
  const median = meanOf(sites, (site) => summarise(site, SINCE_MS, classIndex).medianMs);
  const p90 = meanOf(sites, (site) => summarise(site, SINCE_MS, classIndex).p90Ms);
  const mean = meanOf(sites, (site) => summarise(site, SINCE_MS, classIndex).meanMs);
  return [median, p90, mean].map((ms) => ms.toFixed(0)).join('/');
}

function percent(sites: readonly SimulatedSite[], name: keyof ReturnType<typeof summariseTraffic>): string {
  return `${(100 * meanOf(sites, (site) => summariseTraffic(site, SINCE_MS)[name])).toFixed(0)}%`;
}

for (const [name, demand] of Object.entries(DEMANDS)) {
  for (const isSpilling of [false, true]) {
    const sites: SimulatedSite[] = [];
    let steps = 0;
    for (const seed of SEEDS) {
      const run = await runSpillSite(
        isSpilling,
        { demand, seed, requestsPerSecond: REQUESTS_PER_SECOND },
        UNTIL_MS,
      );
      sites.push(run.site);
      steps += run.steps;
    }
    process.stdout.write(
      `${name}, ${isSpilling ? 'spill' : 'constant'}: large ${times(sites, 0)} ms, all ${times(sites)} ms; ` +
        `bytes ${percent(sites, 'otherZoneBytes')} zones, ${percent(sites, 'otherRegionBytes')} region; ` +
        `requests ${percent(sites, 'otherZoneRequests')}, ${percent(sites, 'otherRegionRequests')}; ${steps} steps\n`,
    );
  }
}
