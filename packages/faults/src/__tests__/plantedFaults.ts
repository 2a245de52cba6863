import type { CoreEvent, Effect, JsonValue, TableRow, TableTransaction } from '@pimentostall/core';
import {
  EffectKind,
  EventKind,
  PeerMessageKind,
  RefusalReason,
  TableOutcomeKind,
  UpstreamRequestKind,
  Verdict,
} from '@pimentostall/core';
import { LARGE_ORGANISATION, LEAVING_ENGINE_ADDRESS, SMALL_ORGANISATION } from '../fleet.ts';
import type { SimulationHooks } from '../simulationHooks.ts';
import { PromiseName } from '../types.ts';
import type { Simulation } from '../simulation.ts';

/** Fault that breaks one promise, planted in a run without injected faults. */
export interface PlantedFault {
  readonly name: string;
  readonly promise: PromiseName;
  /** Also applied in the control run, which lacks the planted fault. */
  readonly baselineHooks?: SimulationHooks;
  /** Called for each run, because some faults keep state. */
  readonly createHooks: () => SimulationHooks;
}

type Fields = Readonly<Record<string, JsonValue>>;

/** Maps the rows with a key prefix in every reply of the table. */
function mapRows(event: CoreEvent, keyPrefix: string, change: (row: TableRow) => TableRow[]): CoreEvent {
  if (event.kind !== EventKind.TableReply || event.outcome.kind !== TableOutcomeKind.Rows) {
    return event;
  }
  const rows = event.outcome.rows.flatMap((row) => (row.key.startsWith(keyPrefix) ? change(row) : [row]));
  return { ...event, outcome: { ...event.outcome, rows } };
}

function withFields(row: TableRow, fields: Fields): TableRow {
  return { ...row, value: { ...(row.value as Fields), ...fields } };
}

/** Maps the transactions before the table commits them. */
function mapCommits(
  simulation: Simulation,
  change: (transaction: TableTransaction) => TableTransaction,
): void {
  const commit = simulation.table.commit.bind(simulation.table);
  simulation.table.commit = (transaction) => commit(change(transaction));
}

const topUpIdsLost: PlantedFault = {
  name: 'the ids of applied top-ups are lost',
  promise: PromiseName.NoOverspend,
  createHooks: () => ({
    mapEvent: (event) =>
      mapRows(event, `budget/${SMALL_ORGANISATION}`, (row) => [withFields(row, { topUpIds: [] })]),
  }),
};

/** Commits one draw from the large organisation's budget to the share row but not to the budget row. */
function splitFirstDraw(simulation: Simulation): void {
  let split = false;
  const budgetKey = `budget/${LARGE_ORGANISATION}`;
  mapCommits(simulation, (transaction) => {
    const draws = transaction.writes.some(({ key, value }) => {
      const [row] = simulation.table.read([key]);
      const before = (row?.value as Fields | undefined)?.grantedMicros ?? 0;
      const after = (value as Fields | undefined)?.grantedMicros ?? 0;
      return key.startsWith(`share/${LARGE_ORGANISATION}/`) && after > before && row !== undefined;
    });
    // Skips transactions with a settlement, since their bill would become inconsistent as well.
    const settles = transaction.writes.some(({ key }) => key.startsWith('bill/'));
    if (split || !draws || settles) {
      return transaction;
    }
    split = true;
    return { ...transaction, writes: transaction.writes.filter(({ key }) => key !== budgetKey) };
  });
}

const nonAtomicDraw: PlantedFault = {
  name: 'a draw is not atomic',
  promise: PromiseName.NoOverspend,
  createHooks: () => ({ setUp: splitFirstDraw }),
};

const settledIdsLost: PlantedFault = {
  name: 'the bill bucket loses the ids of settled work',
  promise: PromiseName.BilledOnce,
  createHooks: () => ({
    mapEvent: (event) => mapRows(event, 'bill/', (row) => [withFields(row, { settled: [] })]),
  }),
};

const foreignChunk: PlantedFault = {
  name: "an engine sends a chunk of another request's answer",
  promise: PromiseName.WholeOwnAnswer,
  createHooks: () => ({
    mapEvent: (event) =>
      event.kind === EventKind.UpstreamChunk && event.chunk.index === 1
        ? { ...event, chunk: { ...event.chunk, text: 'foreign.1 ' } }
        : event,
  }),
};

const missingChunk: PlantedFault = {
  name: 'a chunk is lost on the way to the caller',
  promise: PromiseName.WholeOwnAnswer,
  createHooks: () => {
    let chunkCount = 0;
    return {
      mapEffect: (effect) => {
        chunkCount += effect.kind === EffectKind.CallerChunk ? 1 : 0;
        return effect.kind === EffectKind.CallerChunk && chunkCount === 5 ? { ...effect, data: '' } : effect;
      },
    };
  },
};

/** Breaks the connection to a service before its answer, so that the call may have run. */
function breakServiceConnections(): SimulationHooks {
  const serviceAttempts = new Set<string>();
  const detail = 'The connection broke before the answer.';
  return {
    mapEffect: (effect) => {
      if (
        effect.kind === EffectKind.UpstreamOpen &&
        effect.request.kind === UpstreamRequestKind.ServiceCall
      ) {
        serviceAttempts.add(effect.attemptId);
      }
      return effect;
    },
    mapEvent: (event) =>
      event.kind === EventKind.UpstreamEnded && serviceAttempts.has(event.attemptId)
        ? { kind: EventKind.UpstreamFailed, attemptId: event.attemptId, mayHaveReachedUpstream: true, detail }
        : event,
  };
}

function withDidNotRunVerdict(effect: Effect): Effect {
  return effect.kind === EffectKind.CallerProblem
    ? { ...effect, problem: { ...effect.problem, verdict: Verdict.DidNotRun } }
    : effect;
}

const everyRefusalSaysNotRun: PlantedFault = {
  name: 'every refusal says that the request did not run',
  promise: PromiseName.TruthfulVerdict,
  baselineHooks: breakServiceConnections(),
  createHooks: () => ({ mapEffect: withDidNotRunVerdict }),
};

/** Falsifies only the first refusal with the verdict MayHaveRun; later tries get the true verdict. */
const oneRefusalSaysNotRun: PlantedFault = {
  name: 'one of several tries of a call gets a false refusal saying that it did not run',
  promise: PromiseName.TruthfulVerdict,
  baselineHooks: breakServiceConnections(),
  createHooks: () => {
    let replaced = false;
    return {
      mapEffect: (effect) => {
        const mayHaveRun =
          effect.kind === EffectKind.CallerProblem && effect.problem.verdict === Verdict.MayHaveRun;
        if (replaced || !mayHaveRun) {
          return effect;
        }
        replaced = true;
        return withDidNotRunVerdict(effect);
      },
    };
  },
};

const claimChecksIgnored: PlantedFault = {
  name: 'the table ignores the checks of claims',
  promise: PromiseName.AtMostOnce,
  createHooks: () => ({
    setUp: (simulation) => {
      mapCommits(simulation, ({ checks, writes }) => ({
        checks: checks.filter(({ key }) => !key.startsWith('claim/')),
        writes,
      }));
    },
    mapEvent: (event) => mapRows(event, 'claim/', () => []),
  }),
};

const serviceCallRepeated: PlantedFault = {
  name: 'a service runs one call twice',
  promise: PromiseName.AtMostOnce,
  createHooks: () => ({
    setUp: (simulation) => {
      const run = simulation.service.run.bind(simulation.service);
      simulation.service.run = (key) => {
        run(key);
        return run(key);
      };
    },
  }),
};

const leavingFlagHidden: PlantedFault = {
  name: 'the load reports hide that an engine is leaving',
  promise: PromiseName.LeavingUpstream,
  createHooks: () => ({
    mapEvent: (event) =>
      event.kind === EventKind.UpstreamProbed &&
      event.address === LEAVING_ENGINE_ADDRESS &&
      event.load !== undefined
        ? { ...event, load: { ...event.load, leaving: false } }
        : event,
  }),
};

/** Ends the process of a stopping router at its next chunk to a caller. */
const exitWithOpenStreams: PlantedFault = {
  name: 'a stopping router exits with open streams',
  promise: PromiseName.GracefulStop,
  createHooks: () => {
    const stopping = new Set<number>();
    return {
      mapEvent: (event, hostIndex) => {
        if (event.kind === EventKind.StopRequested) {
          stopping.add(hostIndex);
        }
        return event;
      },
      mapEffect: (effect, hostIndex) =>
        effect.kind === EffectKind.CallerChunk && stopping.has(hostIndex)
          ? { kind: EffectKind.Exit }
          : effect,
    };
  },
};

/** Replaces the end of streams that were open at the stop with a refusal. */
const drainRefusesOpenStreams: PlantedFault = {
  name: 'a stopping router refuses streams in progress',
  promise: PromiseName.GracefulStop,
  createHooks: () => {
    const arrivedBeforeStop = new Map<string, boolean>();
    let stoppedIndex: number | undefined;
    return {
      mapEvent: (event, hostIndex) => {
        if (event.kind === EventKind.StopRequested) {
          stoppedIndex = hostIndex;
        }
        if (event.kind === EventKind.CallerArrived) {
          arrivedBeforeStop.set(event.exchangeId, stoppedIndex === undefined);
        }
        return event;
      },
      mapEffect: (effect, hostIndex) =>
        effect.kind === EffectKind.CallerEnd &&
        hostIndex === stoppedIndex &&
        arrivedBeforeStop.get(effect.exchangeId) === true
          ? drainProblem(effect.exchangeId)
          : effect,
    };
  },
};

function drainProblem(exchangeId: string): Effect {
  return {
    kind: EffectKind.CallerProblem,
    exchangeId,
    started: true,
    problem: {
      status: 503,
      title: 'Draining',
      detail: 'The router stops.',
      reason: RefusalReason.Draining,
      verdict: Verdict.MayHaveRun,
      requestId: undefined,
      retryAfterSeconds: undefined,
    },
  };
}

const sectionWriteLost: PlantedFault = {
  name: 'the table confirms a change of a section without storing its text',
  promise: PromiseName.Configuration,
  createHooks: () => ({
    setUp: (simulation) => {
      mapCommits(simulation, ({ checks, writes }) => ({
        checks,
        writes: writes.filter(({ key }) => key !== 'config/section/classes'),
      }));
    },
  }),
};

/** Hides revisions above the first, so that two of the three routers never learn of a newer one. */
const staleRevisions: PlantedFault = {
  name: 'routers see an old revision in the table and in heartbeats',
  promise: PromiseName.Configuration,
  createHooks: () => ({
    mapEvent: (event) => {
      if (event.kind === EventKind.PeerReceived && event.message.kind === PeerMessageKind.Heartbeat) {
        return { ...event, message: { ...event.message, configurationRevision: 1 } };
      }
      return mapRows(event, 'config/revision', (row) => [withFields(row, { revision: 1 })]);
    },
  }),
};

export const PLANTED_FAULTS: readonly PlantedFault[] = [
  topUpIdsLost,
  nonAtomicDraw,
  settledIdsLost,
  foreignChunk,
  missingChunk,
  everyRefusalSaysNotRun,
  oneRefusalSaysNotRun,
  claimChecksIgnored,
  serviceCallRepeated,
  leavingFlagHidden,
  exitWithOpenStreams,
  drainRefusesOpenStreams,
  sectionWriteLost,
  staleRevisions,
];
