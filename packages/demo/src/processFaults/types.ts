import type { EngineAuditEntry } from '@pimentostall/standins';
import type { AuditSummary } from '../auditor/audit.ts';
import type { Evidence, Funding } from '../auditor/types.ts';
import type { FleetPlan } from '../deployment/fleetPlan.ts';
import type { DemoOrganisation } from '../deployment/organisations.ts';
import type { ProcessGroup } from '../fleet/processGroup.ts';

export enum FaultScenario {
  RouterKilled = 'router-killed',
  RouterPaused = 'router-paused',
  LinkCut = 'link-cut',
  StoreOutage = 'store-outage',
  RouterStopped = 'router-stopped',
  StoreOutageRouterKilled = 'store-outage-router-killed',
  EngineLeaving = 'engine-leaving',
  RepliesLost = 'replies-lost',
}

/** What the steps and the checks of a scenario work on. */
export interface ScenarioSetup {
  readonly plan: FleetPlan;
  readonly organisations: readonly DemoOrganisation[];
  readonly processes: ProcessGroup;
  readonly addFunding: (funding: Funding) => void;
  readonly progress: (message: string) => void;
  /** Records of engines, read immediately before they were killed. */
  readonly engineSnapshots: Map<string, Record<string, EngineAuditEntry>>;
  /** Wall-clock times of the steps, by step name. */
  readonly stepTimesMs: Map<string, number>;
  /** Processes that the scenario ends; any other ended process is a violation. */
  readonly expectedEnds: Set<string>;
}

export interface ScenarioStep {
  /** Time after the start of traffic. */
  readonly atMs: number;
  readonly name: string;
  readonly run: (setup: ScenarioSetup) => Promise<void>;
}

export interface ScenarioPlan {
  readonly scenario: FaultScenario;
  readonly trafficMs: number;
  readonly steps: readonly ScenarioStep[];
  /** Violations beyond those of the auditor. */
  readonly check?: (setup: ScenarioSetup, evidence: Evidence) => string[];
}

export interface ScenarioResult {
  readonly scenario: FaultScenario;
  /** Undefined if the scenario did not come to its audit. */
  readonly summary: AuditSummary | undefined;
  /** Attempts of callers that ended with neither an answer nor a verdict. */
  readonly cutOff: number;
  readonly violations: readonly string[];
  /** Lines that explain the figures. */
  readonly notes: readonly string[];
  readonly durationMs: number;
}
