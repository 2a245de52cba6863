import type { CoreOptions } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';
import type { FakeStream } from '@pimentostall/faults';
import { FaultPlan, NEAR_REGION, Simulation, startConfigurationChange } from '@pimentostall/faults';
import { AllKnowingLedger } from './allKnowingLedger.ts';
import { BenchCaller, CallOutcome } from './benchCaller.ts';
import { EntryCache } from './entryCache.ts';
import { budgetsText, createFleetSetup } from './fleetSetup.ts';
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

/** Runs real router cores on a workload, with a virtual clock and fakes at their interfaces. */
export function runCores(workload: Workload, core: Partial<CoreOptions>): Figures {
  const run = new CoreBench(workload, core);
  return run.run();
}

class CoreBench {
  private readonly tally = new Tally();
  private readonly ledger: AllKnowingLedger;
  private readonly requests: ReadonlyMap<string, PlannedRequest>;
  private readonly startedRequestIds = new Set<string>();
  private readonly entryCaches = new Map<string, EntryCache>();
  private readonly simulation: Simulation;
  /** Table reads by the benchmark itself, which are not counted for the strategy. */
  private sampleReadCount = 0;

  constructor(
    private readonly workload: Workload,
    core: Partial<CoreOptions>,
  ) {
    const { organisations, requests, seed } = workload;
    this.ledger = new AllKnowingLedger(organisations);
    this.requests = new Map(requests.map((request) => [`${request.organisationId}:${request.key}`, request]));
    const fleetSetup = createFleetSetup({
      organisations,
      core,
      onStart: (stream) => {
        this.recordStart(stream);
      },
      onLinkTransfer: (payload) => {
        this.tally.linkBytes += JSON.stringify(payload ?? null).length;
      },
    });
    this.simulation = new Simulation({ seed, plan: new FaultPlan([]), fleetSetup });
  }

  run(): Figures {
    const { scenario, requests } = this.workload;
    const initialCommitCount = this.simulation.table.counts.commits;
    this.scheduleFaults();
    this.scheduleRequest(0);
    for (let atMs = SAMPLE_INTERVAL_MS; atMs <= scenario.endMs; atMs += SAMPLE_INTERVAL_MS) {
      this.simulation.run(atMs);
      this.simulation.nowMs = atMs;
      // Budgets are not funded yet while the cores start.
      if (atMs >= scenario.firstRequestMs) {
        this.sampleMoney();
      }
    }
    if (this.simulation.defects.length > 0) {
      throw new Error(`a task of a core failed in ${scenario.name}: ${this.simulation.defects[0]}`);
    }
    const { commits, reads, scans } = this.simulation.table.counts;
    this.tally.storeWrites = commits - initialCommitCount;
    this.tally.storeReads = reads + scans - this.sampleReadCount;
    return this.tally.figures(requests.length);
  }

  private scheduleFaults(): void {
    const { scenario, organisations, seed } = this.workload;
    const { simulation } = this;
    const { cut, storeOutage, topUpAtMs, routerCrashAtMs } = scenario;
    if (cut !== undefined) {
      simulation.schedule(cut.fromMs, () => {
        simulation.partitionedUntilMs = cut.untilMs;
      });
    }
    if (storeOutage !== undefined) {
      simulation.schedule(storeOutage.fromMs, () => {
        simulation.storeDownUntilMs = storeOutage.untilMs;
      });
    }
    if (routerCrashAtMs !== undefined) {
      simulation.schedule(routerCrashAtMs, () => {
        const host = simulation.hosts[seed % simulation.hosts.length];
        if (host !== undefined) {
          simulation.crash(host);
        }
      });
    }
    if (topUpAtMs !== undefined) {
      simulation.schedule(topUpAtMs, () => {
        const text = budgetsText(organisations, true);
        const change = {
          section: SectionName.Budgets,
          text,
          baseVersion: 1,
          changeId: 'top-up',
          firstHost: 0,
        };
        startConfigurationChange(simulation, change);
        for (const { organisationId, topUpMicros } of organisations) {
          this.ledger.fund(organisationId, topUpMicros);
        }
      });
    }
  }

  /** Schedules one request at a time to keep the event queue short. */
  private scheduleRequest(index: number): void {
    const request = this.workload.requests[index];
    if (request === undefined) {
      return;
    }
    this.simulation.schedule(request.atMs - this.simulation.nowMs, () => {
      this.startRequest(request);
      this.scheduleRequest(index + 1);
    });
  }

  private startRequest(request: PlannedRequest): void {
    const { simulation } = this;
    const organisation = this.workload.organisations.find(
      ({ organisationId }) => organisationId === request.organisationId,
    );
    const keySha256 = organisation?.keySha256 ?? '';
    const entryKey = `${request.organisationId}/${request.region}`;
    const entry = this.entryCaches.get(entryKey) ?? new EntryCache(simulation, request.region, keySha256);
    this.entryCaches.set(entryKey, entry);
    const onEnd = (outcome: CallOutcome): void => {
      this.recordOutcome(request, outcome);
    };
    new BenchCaller({ simulation, request, keySha256, entry, onEnd }).start();
  }

  private recordOutcome(request: PlannedRequest, outcome: CallOutcome): void {
    switch (outcome) {
      case CallOutcome.Answered:
        this.tally.answeredCount += 1;
        return;
      case CallOutcome.Refused:
        this.tally.recordRefusal(this.ledger.covers(request.organisationId, request.worstCaseMicros));
        return;
      case CallOutcome.Unknown:
        return;
    }
  }

  private recordStart({ requestId }: FakeStream): void {
    const request = this.requests.get(requestId);
    if (request === undefined || this.startedRequestIds.has(requestId)) {
      return;
    }
    this.startedRequestIds.add(requestId);
    const { organisationId, worstCaseMicros, actualMicros, durationMs } = request;
    this.ledger.start(organisationId, worstCaseMicros);
    this.simulation.schedule(durationMs, () => {
      this.ledger.finish(organisationId, worstCaseMicros, actualMicros);
    });
  }

  private sampleMoney(): void {
    const { nowMs, hosts, table } = this.simulation;
    const { scenario, organisations } = this.workload;
    const storeDown = isWithin(scenario.storeOutage, nowMs);
    const storeReachable =
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
      const liveMicros = this.liveShareMicros(organisationId);
      strandedMicros += allocatedMicros - liveMicros + heldMicros + (storeReachable ? 0 : freeMicros);
    }
    this.tally.sample(overspendMicros, strandedMicros);
  }

  /** Returns the outstanding shares of the running routers. */
  private liveShareMicros(organisationId: string): number {
    const keys = this.simulation.hosts
      .filter(({ core }) => core !== undefined)
      .map(({ core }) => `share/${organisationId}/${core?.board.incarnationId}`);
    this.sampleReadCount += 1;
    return this.simulation.table
      .read(keys)
      .map(({ value }) => value as unknown as ShareAmounts)
      .reduce((sum, share) => sum + share.grantedMicros - share.settledMicros - share.returnedMicros, 0);
  }
}
