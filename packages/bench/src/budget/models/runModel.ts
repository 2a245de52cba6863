import { seededRandom } from '@pimentostall/core';
import { EventQueue } from '@pimentostall/faults';
import { AllKnowingLedger } from '../allKnowingLedger.ts';
import { LOST_CONNECTION_RETRY_MS, MAX_TRIES, STORE_UNAVAILABLE_RETRY_MS } from '../callerPolicy.ts';
import { ROUTERS } from '../fleetSetup.ts';
import { SAMPLE_INTERVAL_MS, Tally } from '../tally.ts';
import type { Figures, Organisation, PlannedRequest, Workload } from '../types.ts';
import { ModelNetwork } from './network.ts';
import type { SpendModel } from './spendModel.ts';
import { AdmissionKind } from './spendModel.ts';

export type ModelFactory = (organisations: readonly Organisation[], network: ModelNetwork) => SpendModel;

/** Runs a baseline on a workload with the same requests and caller policy, but without cores or latencies. */
export function runModel(workload: Workload, createModel: ModelFactory): Figures {
  return new BaselineRun(workload, createModel).run();
}

class BaselineRun {
  private readonly queue = new EventQueue();
  private readonly tally = new Tally();
  private readonly ledger: AllKnowingLedger;
  private readonly network: ModelNetwork;
  private readonly model: SpendModel;
  private readonly random: () => number;

  constructor(
    private readonly workload: Workload,
    createModel: ModelFactory,
  ) {
    const { organisations, scenario, seed } = workload;
    this.ledger = new AllKnowingLedger(organisations);
    this.network = new ModelNetwork(scenario, seed % ROUTERS.length);
    this.model = createModel(organisations, this.network);
    this.random = seededRandom(seed);
  }

  run(): Figures {
    const { scenario, requests } = this.workload;
    for (const request of requests) {
      this.queue.add(request.atMs, () => {
        this.attempt(request, 1);
      });
    }
    for (let atMs = SAMPLE_INTERVAL_MS; atMs <= scenario.endMs; atMs += SAMPLE_INTERVAL_MS) {
      this.queue.add(atMs, () => {
        this.model.tick();
        this.tally.sample(this.ledger.overspendMicros, this.model.strandedMicros());
      });
    }
    this.scheduleTopUp();
    for (let next = this.queue.takeNext(); next !== undefined; next = this.queue.takeNext()) {
      this.network.nowMs = next.atMs;
      next.action();
    }
    this.tally.storeWrites = this.model.storeWrites;
    this.tally.storeReads = this.model.storeReads;
    this.tally.linkBytes = this.model.linkBytes;
    return this.tally.figures(requests.length);
  }

  private scheduleTopUp(): void {
    const { scenario, organisations } = this.workload;
    if (scenario.topUpAtMs === undefined) {
      return;
    }
    this.queue.add(scenario.topUpAtMs, () => {
      for (const { organisationId, topUpMicros } of organisations) {
        this.ledger.fund(organisationId, topUpMicros);
        this.model.topUp(organisationId, topUpMicros);
      }
    });
  }

  private attempt(request: PlannedRequest, tryCount: number): void {
    const routers = this.network.liveRoutersIn(request.region);
    const router = routers[Math.floor(this.random() * routers.length)];
    if (router === undefined) {
      this.retry(request, tryCount, LOST_CONNECTION_RETRY_MS);
      return;
    }
    const admission = this.model.admit(request, router);
    switch (admission.kind) {
      case AdmissionKind.Admitted:
        this.serve(request, admission.router);
        return;
      case AdmissionKind.Refused:
        this.recordRefusal(request);
        return;
      case AdmissionKind.Unavailable:
        this.retry(request, tryCount, STORE_UNAVAILABLE_RETRY_MS);
        return;
    }
  }

  private serve(request: PlannedRequest, router: number): void {
    const { organisationId, worstCaseMicros, actualMicros, durationMs } = request;
    this.ledger.start(organisationId, worstCaseMicros);
    this.queue.add(this.network.nowMs + durationMs, () => {
      this.ledger.finish(organisationId, worstCaseMicros, actualMicros);
      this.model.finish(request, router);
      this.tally.answeredCount += 1;
    });
  }

  private retry(request: PlannedRequest, tryCount: number, delayMs: number): void {
    if (tryCount >= MAX_TRIES) {
      this.recordRefusal(request);
      return;
    }
    this.queue.add(this.network.nowMs + delayMs, () => {
      this.attempt(request, tryCount + 1);
    });
  }

  private recordRefusal({ organisationId, worstCaseMicros }: PlannedRequest): void {
    this.tally.recordRefusal(this.ledger.covers(organisationId, worstCaseMicros));
  }
}
