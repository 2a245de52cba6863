import { DEFAULT_CORE_OPTIONS, EffectKind, EventKind, PeerMessageKind } from '@pimentostall/core';
import type { Effect, JsonValue } from '@pimentostall/core';
import type { RouterHarness, TableCounts } from './routerHarness.ts';
import { deliverHeartbeats, createRouterInFleet } from './routerHarness.ts';
import { regionPeerIndexes } from './fleetModel.ts';
import { addShares, addUsedRecord, createRegisteredRouter } from './ledgerModel.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { measureCpuMicros } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { ORGANISATIONS_PER_ROUTER, REQUESTS_PER_ROUTER, TARGET } from './target.ts';

const ORGANISATION_SIZES = [1, 4, 16, ORGANISATIONS_PER_ROUTER];
const ROUTER_SIZES = [32, 128, TARGET.routers];
const SHARE_SIZES = [10, ORGANISATIONS_PER_ROUTER, 100];
const ROW_SIZES = [350, 1_000, 5_000];
const SECONDS = 20;
const INTERVAL_SIZES = [2, 10, 30, 60];
const MIN_INTERVALS = 4;
const IDLE_SECONDS = 60;
const DRAIN_SECONDS = 30;

type TableRates = TableCounts & { readonly announcements: number };

/** Adds usage records at a steady rate and returns the table calls and announcements of the router per second. */
function measureTableRates(
  router: RouterHarness,
  organisations: number,
  requestsPerSecond: number,
  seconds = SECONDS,
): TableRates {
  const before = { ...router.counts };
  router.byteCountEnabled = true;
  let served = 0;
  let announcements = 0;
  for (let second = 1; second <= seconds; second += 1) {
    for (; served < requestsPerSecond * second; served += 1) {
      addUsedRecord(router, served % organisations, served.toString(16).padStart(32, '0'));
    }
    deliverHeartbeats(router, regionPeerIndexes(TARGET.routers), 0);
    announcements += router.advance(1_000).filter(isAnnouncement).length;
  }
  const names = Object.keys(before) as (keyof TableCounts)[];
  const rates = names.map((name) => [name, (router.counts[name] - before[name]) / seconds]);
  return { ...(Object.fromEntries(rates) as TableCounts), announcements: announcements / seconds };
}

function isAnnouncement(effect: Effect): boolean {
  return effect.kind === EffectKind.PeerSend && effect.message.kind === PeerMessageKind.RecordResolved;
}

/** One router at the target rate with the given number of active organisations. */
function measureOrganisations(organisations: number): TableRates {
  const router = createRouterInFleet(TARGET.routers);
  addShares(router, ORGANISATIONS_PER_ROUTER);
  return measureTableRates(router, organisations, REQUESTS_PER_ROUTER);
}

/** The fleet at the target rate, extrapolated from one router. */
function measureFleet(
  routers: number,
): Readonly<Record<'commits' | 'rowsWritten' | 'reads' | 'rowsRead', number>> {
  const organisations = Math.round((ORGANISATIONS_PER_ROUTER * TARGET.routers) / routers);
  const router = createRouterInFleet(routers);
  addShares(router, organisations);
  const routerRates = measureTableRates(router, organisations, TARGET.requestsPerSecond / routers);
  return {
    commits: routerRates.commits * routers,
    rowsWritten: routerRates.rowsWritten * routers,
    reads: routerRates.reads * routers,
    rowsRead: routerRates.rowsRead * routers,
  };
}

/** The fleet at the target size with the given interval between settlements. */
function measureSettleInterval(seconds: number): Readonly<Record<'commits' | 'reads', number>> {
  const router = createRouterInFleet(TARGET.routers, 0, { settleIntervalMs: seconds * 1_000 });
  addShares(router, ORGANISATIONS_PER_ROUTER);
  const durationSeconds = Math.max(SECONDS, MIN_INTERVALS * seconds);
  const routerRates = measureTableRates(
    router,
    ORGANISATIONS_PER_ROUTER,
    REQUESTS_PER_ROUTER,
    durationSeconds,
  );
  return { commits: routerRates.commits * TARGET.routers, reads: routerRates.reads * TARGET.routers };
}

/** Table calls of an idle router. It has no peers, so it polls the configuration and scans for dead routers itself. */
function measureIdle(): Readonly<Record<'calls', number>> {
  const router = createRegisteredRouter();
  const before = router.counts.reads + router.counts.scans;
  router.advance(IDLE_SECONDS * 1_000);
  return { calls: (router.counts.reads + router.counts.scans - before) / IDLE_SECONDS };
}

function measureDrain(shares: number): Readonly<Record<'commits', number>> {
  const router = createRegisteredRouter();
  addShares(router, shares);
  for (let index = 0; index < shares; index += 1) {
    addUsedRecord(router, index, `request-${index}`);
  }
  const before = router.counts.commits;
  router.step([{ kind: EventKind.StopRequested }]);
  const effects = router.advance(DRAIN_SECONDS * 1_000);
  if (!effects.some((effect) => effect.kind === EffectKind.Exit)) {
    throw new Error('The drain did not end.');
  }
  return { commits: router.counts.commits - before };
}

/** The scan for dead routers over the rows of replaced routers, which are never deleted. */
function measureReclaimScan(rows: number): Readonly<Record<'scan', number>> {
  const router = createRegisteredRouter();
  const value: JsonValue = {
    routerId: 'router',
    vmId: 'vm',
    region: 'nairobi',
    availabilityZone: 'nairobi-a',
    state: 'gone',
    fencedAtMs: 1,
    fencedBy: '',
  };
  for (let index = 0; index < rows; index += 1) {
    const key = `router/${index.toString(16).padStart(32, '0')}`;
    router.table.set(key, { key, version: 1, value });
  }
  const seconds = 20;
  return { scan: measureCpuMicros(() => router.advance(seconds * 1_000)) / 1_000 / seconds };
}

/** Table calls of settlement, of idle and draining routers, and of the scan for dead routers. */
export function measureSettlement(options: SlopeOptions): Series[] {
  // Counts do not vary between repetitions, so they are measured once.
  const organisations = measureSizes(selectSizes(options, ORGANISATION_SIZES), 1, measureOrganisations);
  const fleet = measureSizes(selectSizes(options, ROUTER_SIZES), 1, measureFleet);
  const idle = measureSizes([1], 1, measureIdle);
  const drain = measureSizes(selectSizes(options, SHARE_SIZES), 1, measureDrain);
  const scan = measureSizes(selectSizes(options, ROW_SIZES), options.repeats, measureReclaimScan);
  const intervals = measureSizes(selectSizes(options, INTERVAL_SIZES), 1, measureSettleInterval);
  const byOrganisation = (id: string, quantity: string, name: keyof TableRates, unit = '1/s'): Series => ({
    id: `settlement.${id}`,
    quantity,
    unit,
    sizeUnit: 'active organisations on a router',
    targetSize: ORGANISATIONS_PER_ROUTER,
    points: organisations(name),
  });
  const byRouters = { sizeUnit: 'routers', targetSize: TARGET.routers, unit: '1/s' };
  const byInterval = {
    sizeUnit: 'seconds between settlements',
    targetSize: DEFAULT_CORE_OPTIONS.settleIntervalMs / 1_000,
    unit: '1/s',
  };
  return [
    byOrganisation('commits', 'transactions of a router', 'commits'),
    byOrganisation('rowsWritten', 'rows written by a router', 'rowsWritten'),
    byOrganisation('reads', 'read calls of a router', 'reads'),
    byOrganisation('rowsRead', 'rows read by a router', 'rowsRead'),
    byOrganisation('tableBytes', 'JSON to and from the table, young bill rows', 'bytes', 'B/s'),
    byOrganisation('announcements', 'RecordResolved sent to 174 peers', 'announcements'),
    {
      ...byRouters,
      id: 'settlement.fleetCommits',
      quantity: 'transactions of the fleet',
      points: fleet('commits'),
    },
    {
      ...byRouters,
      id: 'settlement.fleetRowsWritten',
      quantity: 'rows written by the fleet',
      points: fleet('rowsWritten'),
    },
    {
      ...byRouters,
      id: 'settlement.fleetReads',
      quantity: 'read calls of the fleet',
      points: fleet('reads'),
    },
    {
      ...byRouters,
      id: 'settlement.fleetRowsRead',
      quantity: 'rows read by the fleet',
      points: fleet('rowsRead'),
    },
    {
      ...byInterval,
      id: 'settlement.intervalCommits',
      quantity: 'transactions of 350 routers',
      points: intervals('commits'),
    },
    {
      ...byInterval,
      id: 'settlement.intervalReads',
      quantity: 'read calls of 350 routers',
      points: intervals('reads'),
    },
    {
      id: 'table.idleCalls',
      quantity: 'reads and scans of an idle poller and reclaimer',
      unit: '1/s',
      sizeUnit: 'routers',
      targetSize: 1,
      points: idle('calls'),
    },
    {
      id: 'drain.commits',
      quantity: 'transactions of a drain',
      unit: '1',
      sizeUnit: 'shares with a record each',
      targetSize: ORGANISATIONS_PER_ROUTER,
      points: drain('commits'),
    },
    {
      id: 'reclaim.scan',
      quantity: 'rounds of a reclaimer over router rows',
      unit: 'ms/s',
      sizeUnit: 'router rows',
      targetSize: TARGET.routers,
      points: scan('scan'),
    },
  ];
}
