import type { CoreOptions } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';
import type { FakeStream } from '@pimentostall/faults';
import { FaultPlan, NEAR_REGION, World, startChange } from '@pimentostall/faults';
import { AllKnowingLedger } from './allKnowingLedger.ts';
import { BenchCaller, CallEnd } from './benchCaller.ts';
import { EntryCache } from './entryCache.ts';
import { budgetsText, createPlace } from './fleetSetup.ts';
import { isWithin } from './scenarios.ts';
import { SAMPLE_INTERVAL_MS, Tally } from './tally.ts';
import type { Figures, PlannedRequest, Workload } from './types.ts';

interface BudgetAmounts {
  readonly fundedMicros: number;
  readonly allocatedMicros: number;
  readonly settledMicros: number;
  readonly heldMicros: number;
}

interface ShareAmounts {
  readonly grantedMicros: number;
  readonly settledMicros: number;
  readonly returnedMicros: number;
}

/** Runs real cores on a workload, on a virtual clock with fakes at their interfaces. */
export function runCores(workload: Workload, core: Partial<CoreOptions>): Figures {
  const run = new CoreRun(workload, core);
  return run.run();
}

class CoreRun {
  private readonly tally = new Tally();
  private readonly ledger: AllKnowingLedger;
  private readonly requests: ReadonlyMap<string, PlannedRequest>;
  private readonly started = new Set<string>();
  private readonly entries = new Map<string, EntryCache>();
  private readonly world: World;
  /** Reads of the benchmark itself. */
  private sampleReadCount = 0;

  constructor(
    private readonly workload: Workload,
    core: Partial<CoreOptions>,
  ) {
    const { organisations, requests, seed } = workload;
    this.ledger = new AllKnowingLedger(organisations);
    this.requests = new Map(requests.map((request) => [`${request.organisationId}:${request.key}`, request]));
    const place = createPlace({
      organisations,
      core,
      onStart: (stream) => {
        this.noteStart(stream);
      },
      onLinkTransfer: (payload) => {
        this.tally.linkBytes += JSON.stringify(payload ?? null).length;
      },
    });
    this.world = new World({ seed, plan: new FaultPlan([]), place });
  }

  run(): Figures {
    const { scenario, requests } = this.workload;
    const firstCommits = this.world.table.counts.commits;
    this.planFaults();
    this.planNextRequest(0);
    for (let atMs = SAMPLE_INTERVAL_MS; atMs <= scenario.endMs; atMs += SAMPLE_INTERVAL_MS) {
      this.world.run(atMs);
      this.world.nowMs = atMs;
      // Nothing is funded yet while the cores start.
      if (atMs >= scenario.firstRequestMs) {
        this.sampleMoney();
      }
    }
    if (this.world.defects.length > 0) {
      throw new Error(`a task of a core failed in ${scenario.name}: ${this.world.defects[0]}`);
    }
    const { commits, reads, scans } = this.world.table.counts;
    this.tally.storeWrites = commits - firstCommits;
    this.tally.storeReads = reads + scans - this.sampleReadCount;
    return this.tally.figures(requests.length);
  }

  private planFaults(): void {
    const { scenario, organisations, seed } = this.workload;
    const { world } = this;
    const { cut, storeOutage, topUpAtMs, deathAtMs } = scenario;
    if (cut !== undefined) {
      world.after(cut.fromMs, () => {
        world.cutUntilMs = cut.untilMs;
      });
    }
    if (storeOutage !== undefined) {
      world.after(storeOutage.fromMs, () => {
        world.storeDownUntilMs = storeOutage.untilMs;
      });
    }
    if (deathAtMs !== undefined) {
      world.after(deathAtMs, () => {
        const host = world.hosts[seed % world.hosts.length];
        if (host !== undefined) {
          world.crash(host);
        }
      });
    }
    if (topUpAtMs !== undefined) {
      world.after(topUpAtMs, () => {
        const text = budgetsText(organisations, true);
        const change = {
          section: SectionName.Budgets,
          text,
          baseVersion: 1,
          changeId: 'top-up',
          firstHost: 0,
        };
        startChange(world, change);
        for (const { organisationId, topUpMicros } of organisations) {
          this.ledger.fund(organisationId, topUpMicros);
        }
      });
    }
  }

  /** One request is in the queue at a time, so that the queue stays short. */
  private planNextRequest(index: number): void {
    const request = this.workload.requests[index];
    if (request === undefined) {
      return;
    }
    this.world.after(request.atMs - this.world.nowMs, () => {
      this.startRequest(request);
      this.planNextRequest(index + 1);
    });
  }

  private startRequest(request: PlannedRequest): void {
    const { world } = this;
    const organisation = this.workload.organisations.find(
      ({ organisationId }) => organisationId === request.organisationId,
    );
    const keySha256 = organisation?.keySha256 ?? '';
    const entryKey = `${request.organisationId}/${request.region}`;
    const entry = this.entries.get(entryKey) ?? new EntryCache(world, request.region, keySha256);
    this.entries.set(entryKey, entry);
    const onEnd = (end: CallEnd): void => {
      this.noteEnd(request, end);
    };
    new BenchCaller({ world, request, keySha256, entry, onEnd }).start();
  }

  private noteEnd(request: PlannedRequest, end: CallEnd): void {
    switch (end) {
      case CallEnd.Answered:
        this.tally.answeredCount += 1;
        return;
      case CallEnd.Refused:
        this.tally.refuse(this.ledger.covers(request.organisationId, request.worstCaseMicros));
        return;
      case CallEnd.Unknown:
        return;
    }
  }

  private noteStart({ requestId }: FakeStream): void {
    const request = this.requests.get(requestId);
    if (request === undefined || this.started.has(requestId)) {
      return;
    }
    this.started.add(requestId);
    const { organisationId, worstCaseMicros, actualMicros, durationMs } = request;
    this.ledger.start(organisationId, worstCaseMicros);
    this.world.after(durationMs, () => {
      this.ledger.finish(organisationId, worstCaseMicros, actualMicros);
    });
  }

  private sampleMoney(): void {
    const { nowMs, hosts, table } = this.world;
    const { scenario, organisations } = this.workload;
    const storeDown = isWithin(scenario.storeOutage, nowMs);
    const storeAsked =
      !storeDown && hosts.some(({ core, identity }) => core !== undefined && identity.region === NEAR_REGION);
    let strandedMicros = 0;
    let overspendMicros = this.ledger.overspendMicros;
    for (const { organisationId } of organisations) {
      const [row] = table.read([`budget/${organisationId}`]);
      this.sampleReadCount += 1;
      if (row === undefined) {
        continue;
      }
      const budget = row.value as unknown as BudgetAmounts;
      const { fundedMicros, allocatedMicros, settledMicros, heldMicros } = budget;
      overspendMicros += Math.max(0, settledMicros - fundedMicros);
      const freeMicros = fundedMicros - allocatedMicros - settledMicros - heldMicros;
      const ownedMicros = this.liveShareMicros(organisationId);
      strandedMicros += allocatedMicros - ownedMicros + heldMicros + (storeAsked ? 0 : freeMicros);
    }
    this.tally.sample(overspendMicros, strandedMicros);
  }

  /** Outstanding shares of the routers that run now. */
  private liveShareMicros(organisationId: string): number {
    const keys = this.world.hosts
      .filter(({ core }) => core !== undefined)
      .map(({ core }) => `share/${organisationId}/${core?.coreState.incarnationId}`);
    this.sampleReadCount += 1;
    return this.world.table
      .read(keys)
      .map(({ value }) => value as unknown as ShareAmounts)
      .reduce((sum, share) => sum + share.grantedMicros - share.settledMicros - share.returnedMicros, 0);
  }
}
