import { DEFAULT_CORE_OPTIONS, EffectKind, EventKind, PeerMessageKind } from '@pimentostall/core';
import type { Effect, JsonValue } from '@pimentostall/core';
import type { DrivenRouter, TableCounts } from './drivenRouter.ts';
import { hearPeers, routerInFleet } from './drivenRouter.ts';
import { nearPeers } from './fleetModel.ts';
import { addShares, addUsedRecord, registeredRouter } from './ledgerModel.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { processorMicros } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { ORGANISATIONS_PER_ROUTER, REQUESTS_PER_ROUTER, TARGET } from './target.ts';

const ORGANISATION_SIZES = [1, 4, 16, ORGANISATIONS_PER_ROUTER];
const ROUTER_SIZES = [32, 128, TARGET.routers];
const SHARE_SIZES = [10, ORGANISATIONS_PER_ROUTER, 100];
const ROW_SIZES = [350, 1_000, 5_000];
const SECONDS = 20;
const INTERVAL_SIZES = [2, 10, 30, 60];
const INTERVALS_SERVED = 4;
const IDLE_SECONDS = 60;
const DRAIN_SECONDS = 30;

type Served = TableCounts & { readonly announcements: number };

/** Serves requests at a steady rate for some seconds; what the router asked of the table, per second. */
function serve(
  router: DrivenRouter,
  organisations: number,
  requestsPerSecond: number,
  seconds = SECONDS,
): Served {
  const before = { ...router.counts };
  router.countsBytes = true;
  let served = 0;
  let announcements = 0;
  for (let second = 1; second <= seconds; second += 1) {
    for (; served < requestsPerSecond * second; served += 1) {
      addUsedRecord(router, served % organisations, served.toString(16).padStart(32, '0'));
    }
    hearPeers(router, nearPeers(TARGET.routers), 0);
    announcements += router.advance(1_000).filter(isAnnouncement).length;
  }
  const names = Object.keys(before) as (keyof TableCounts)[];
  const rates = names.map((name) => [name, (router.counts[name] - before[name]) / seconds]);
  return { ...(Object.fromEntries(rates) as TableCounts), announcements: announcements / seconds };
}

function isAnnouncement(effect: Effect): boolean {
  return effect.kind === EffectKind.PeerSend && effect.message.kind === PeerMessageKind.RecordResolved;
}

/** One router at the target's rate with this many active organisations. */
function measureOrganisations(organisations: number): Served {
  const router = routerInFleet(TARGET.routers);
  addShares(router, ORGANISATIONS_PER_ROUTER);
  return serve(router, organisations, REQUESTS_PER_ROUTER);
}

/** The whole fleet at the target's rate, as the measured router times the routers. */
function measureFleet(
  routers: number,
): Readonly<Record<'commits' | 'rowsWritten' | 'reads' | 'rowsRead', number>> {
  const organisations = Math.round((ORGANISATIONS_PER_ROUTER * TARGET.routers) / routers);
  const router = routerInFleet(routers);
  addShares(router, organisations);
  const one = serve(router, organisations, TARGET.requestsPerSecond / routers);
  return {
    commits: one.commits * routers,
    rowsWritten: one.rowsWritten * routers,
    reads: one.reads * routers,
    rowsRead: one.rowsRead * routers,
  };
}

/** The fleet of the target's size with another interval between settlements. */
function measureInterval(seconds: number): Readonly<Record<'commits' | 'reads', number>> {
  const router = routerInFleet(TARGET.routers, 0, { settleIntervalMs: seconds * 1_000 });
  addShares(router, ORGANISATIONS_PER_ROUTER);
  const served = Math.max(SECONDS, INTERVALS_SERVED * seconds);
  const one = serve(router, ORGANISATIONS_PER_ROUTER, REQUESTS_PER_ROUTER, served);
  return { commits: one.commits * TARGET.routers, reads: one.reads * TARGET.routers };
}

/** What one router without requests asks of the table; it hears no peer, so it polls and looks for dead routers. */
function measureIdle(): Readonly<Record<'calls', number>> {
  const router = registeredRouter();
  const before = router.counts.reads + router.counts.scans;
  router.advance(IDLE_SECONDS * 1_000);
  return { calls: (router.counts.reads + router.counts.scans - before) / IDLE_SECONDS };
}

function measureDrain(shares: number): Readonly<Record<'commits', number>> {
  const router = registeredRouter();
  addShares(router, shares);
  for (let index = 0; index < shares; index += 1) {
    addUsedRecord(router, index, `request-${index}`);
  }
  const before = router.counts.commits;
  router.step([{ kind: EventKind.StopRequested }]);
  const effects = router.advance(DRAIN_SECONDS * 1_000);
  if (!effects.some((effect) => effect.kind === EffectKind.Exit)) {
    throw new Error('The drain must end.');
  }
  return { commits: router.counts.commits - before };
}

/** The scan for dead routers over rows of replaced routers, which are never deleted. */
function measureReclaimScan(rows: number): Readonly<Record<'scan', number>> {
  const router = registeredRouter();
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
  return { scan: processorMicros(() => router.advance(seconds * 1_000)) / 1_000 / seconds };
}

/** Table calls of settlement, idling, draining and reclaiming. */
export function measureSettlement(options: SlopeOptions): Series[] {
  // Counts do not vary between repetitions, so they are measured once.
  const organisations = measureSizes(sizesOf(options, ORGANISATION_SIZES), 1, measureOrganisations);
  const fleet = measureSizes(sizesOf(options, ROUTER_SIZES), 1, measureFleet);
  const idle = measureSizes([1], 1, measureIdle);
  const drain = measureSizes(sizesOf(options, SHARE_SIZES), 1, measureDrain);
  const scan = measureSizes(sizesOf(options, ROW_SIZES), options.repeats, measureReclaimScan);
  const intervals = measureSizes(sizesOf(options, INTERVAL_SIZES), 1, measureInterval);
  const byOrganisation = (id: string, quantity: string, name: keyof Served, unit = '1/s'): Series => ({
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
