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

/** Passed to the steps and checks of a scenario. */
export interface ScenarioContext {
  readonly plan: FleetPlan;
  readonly organisations: readonly DemoOrganisation[];
  readonly processes: ProcessGroup;
  readonly addFunding: (funding: Funding) => void;
  readonly progress: (message: string) => void;
  /** Audit records of engines, read immediately before the engines were killed; by address. */
  readonly engineSnapshots: Map<string, Record<string, EngineAuditEntry>>;
  /** Start times of the steps, by step name. */
  readonly stepStartedAtMs: Map<string, number>;
  /** Processes that the scenario stops; the exit of any other process is a violation. */
  readonly expectedExits: Set<string>;
}

export interface ScenarioStep {
  /** Time after the start of traffic. */
  readonly atMs: number;
  readonly name: string;
  readonly run: (context: ScenarioContext) => Promise<void>;
}

export interface ScenarioPlan {
  readonly scenario: FaultScenario;
  readonly trafficMs: number;
  readonly steps: readonly ScenarioStep[];
  /** Returns violations in addition to those of the auditor. */
  readonly check?: (context: ScenarioContext, evidence: Evidence) => string[];
}

export interface ScenarioResult {
  readonly scenario: FaultScenario;
  /** Undefined if the scenario failed before its audit. */
  readonly summary: AuditSummary | undefined;
  /** Number of attempts that ended with neither an answer nor a verdict. */
  readonly cutOff: number;
  readonly violations: readonly string[];
  /** Lines that explain the figures. */
  readonly notes: readonly string[];
  readonly durationMs: number;
}
