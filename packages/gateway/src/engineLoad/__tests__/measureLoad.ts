import type { EngineLoadOptions } from '../options.ts';
import { SimulatedExchange } from './simulatedExchange.ts';
import type { LatencySummary, SiteOptions } from './simulatedSite.ts';
import { Knowledge, SimulatedSite, summarise } from './simulatedSite.ts';

// Prints the times to the first event under the load of docs/design/work-plan.md for each kind of knowledge of the load:
// node --import tsx packages/gateway/src/engineLoad/__tests__/measureLoad.ts

const SEEDS = [1, 2, 3];
const SETTLE_MS = 8_000;
const END_MS = 20_000;

interface Variant {
  readonly name: string;
  readonly site: Partial<SiteOptions>;
  readonly exchange?: Partial<EngineLoadOptions>;
}

const EXCHANGED = { knowledge: Knowledge.Exchanged };
const VARIANTS: readonly Variant[] = [
  { name: 'own requests only', site: { knowledge: Knowledge.Own } },
  { name: 'exact sums', site: { knowledge: Knowledge.ExactSums } },
  { name: 'queue and cache of the engines', site: { knowledge: Knowledge.Oracle } },
  { name: 'exchange, default', site: EXCHANGED },
  {
    name: 'exchange, posts every 250 ms',
    site: EXCHANGED,
    exchange: {
      postIntervalMs: 250,
      smallChangeDelayMs: 400,
      exchangePeriodMs: 200,
      otherRegionPeriodMs: 600,
    },
  },
  {
    name: 'exchange, posts every 500 ms',
    site: EXCHANGED,
    exchange: {
      postIntervalMs: 500,
      smallChangeDelayMs: 700,
      exchangePeriodMs: 400,
      otherRegionPeriodMs: 800,
    },
  },
  { name: 'own, equally popular parts', site: { knowledge: Knowledge.Own, skew: 0 } },
  { name: 'exchange, equally popular parts', site: { ...EXCHANGED, skew: 0 } },
  { name: 'own, 330 requests/s', site: { knowledge: Knowledge.Own, requestsPerSecond: 330 } },
  { name: 'exact sums, 330 requests/s', site: { knowledge: Knowledge.ExactSums, requestsPerSecond: 330 } },
  { name: 'exchange, 330 requests/s', site: { ...EXCHANGED, requestsPerSecond: 330 } },
];

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

function format(summaries: readonly LatencySummary[]): string {
  const times = [
    mean(summaries.map(({ medianMs }) => medianMs)),
    mean(summaries.map(({ p90Ms }) => p90Ms)),
    mean(summaries.map(({ meanMs }) => meanMs)),
  ].map((ms) => ms.toFixed(0));
  return `${times.join('/')} ms, ${(100 * mean(summaries.map(({ withinTarget }) => withinTarget))).toFixed(1)}%`;
}

/** Mean interval between two sums that a router received. */
function sumIntervalMs(exchanges: readonly SimulatedExchange[]): number {
  const text = exchanges.flatMap((exchange) => exchange.metricsTexts()).join('\n');
  const total = (name: string): number =>
    [...text.matchAll(new RegExp(`${name} (\\d+)`, 'g'))].reduce((sum, [, value]) => sum + Number(value), 0);
  return total('engine_load_age_ms_sum') / total('engine_load_age_ms_count');
}

process.stdout.write('variant: median/90th/mean and within 827 ms of 17,000-token prompts; of all prompts\n');
for (const { name, site: options, exchange: exchangeOptions } of VARIANTS) {
  const sites: SimulatedSite[] = [];
  const exchanges: SimulatedExchange[] = [];
  for (const seed of SEEDS) {
    const site = new SimulatedSite({ ...options, seed });
    if (options.knowledge === Knowledge.Exchanged) {
      exchanges.push(new SimulatedExchange(site, exchangeOptions));
    }
    await site.events.advanceTo(END_MS);
    sites.push(site);
  }
  const busy = mean(sites.flatMap(({ engines }) => engines.map(({ busyMs }) => busyMs / END_MS)));
  const messages = mean(exchanges.map(({ messageCount }) => messageCount / (END_MS / 1_000)));
  const detail =
    exchanges.length === 0
      ? ''
      : `; ${messages.toFixed(0)} messages/s, sums every ${sumIntervalMs(exchanges).toFixed(0)} ms`;
  process.stdout.write(
    `${name}: ${format(sites.map((site) => summarise(site, SETTLE_MS, 0)))}; ` +
      `${format(sites.map((site) => summarise(site, SETTLE_MS)))}; engines busy ${busy.toFixed(2)}${detail}\n`,
  );
}
