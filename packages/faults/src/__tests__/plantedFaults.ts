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
import type { Tamper } from '../tamper.ts';
import { PromiseName } from '../types.ts';
import type { Simulation } from '../simulation.ts';

/** A fault that breaks one promise, planted in a run whose only other disturbance is `disturb`. */
export interface PlantedFault {
  readonly name: string;
  readonly promise: PromiseName;
  /** Present in the compared run as well. */
  readonly disturb?: Tamper;
  /** Created for each run, because some faults keep state. */
  readonly plant: () => Tamper;
}

type Fields = Readonly<Record<string, JsonValue>>;

/** Changes the rows with a key prefix in every answer of the table. */
function changeRows(event: CoreEvent, keyPrefix: string, change: (row: TableRow) => TableRow[]): CoreEvent {
  if (event.kind !== EventKind.TableReply || event.outcome.kind !== TableOutcomeKind.Rows) {
    return event;
  }
  const rows = event.outcome.rows.flatMap((row) => (row.key.startsWith(keyPrefix) ? change(row) : [row]));
  return { ...event, outcome: { ...event.outcome, rows } };
}

function withFields(row: TableRow, fields: Fields): TableRow {
  return { ...row, value: { ...(row.value as Fields), ...fields } };
}

/** Replaces the transactions that the table applies. */
function changeCommits(
  simulation: Simulation,
  change: (transaction: TableTransaction) => TableTransaction,
): void {
  const commit = simulation.table.commit.bind(simulation.table);
  simulation.table.commit = (transaction) => commit(change(transaction));
}

const topUpAppliedAgain: PlantedFault = {
  name: 'the identifiers of applied top-ups are forgotten',
  promise: PromiseName.NoOverspend,
  plant: () => ({
    event: (event) =>
      changeRows(event, `budget/${SMALL_ORGANISATION}`, (row) => [withFields(row, { topUpIds: [] })]),
  }),
};

/** One draw of the large organisation's money reaches the share row but not the budget row. */
function splitFirstDraw(simulation: Simulation): void {
  let split = false;
  const budgetKey = `budget/${LARGE_ORGANISATION}`;
  changeCommits(simulation, (transaction) => {
    const draws = transaction.writes.some(({ key, value }) => {
      const [row] = simulation.table.read([key]);
      const before = (row?.value as Fields | undefined)?.grantedMicros ?? 0;
      const after = (value as Fields | undefined)?.grantedMicros ?? 0;
      return key.startsWith(`share/${LARGE_ORGANISATION}/`) && after > before && row !== undefined;
    });
    // With a settlement in the same transaction the bill would be torn as well.
    const settles = transaction.writes.some(({ key }) => key.startsWith('bill/'));
    if (split || !draws || settles) {
      return transaction;
    }
    split = true;
    return { ...transaction, writes: transaction.writes.filter(({ key }) => key !== budgetKey) };
  });
}

const drawWithoutDebit: PlantedFault = {
  name: 'a draw is not atomic',
  promise: PromiseName.NoOverspend,
  plant: () => ({ setUp: splitFirstDraw }),
};

const bucketForgets: PlantedFault = {
  name: 'the bill bucket forgets settled identities',
  promise: PromiseName.BilledOnce,
  plant: () => ({
    event: (event) => changeRows(event, 'bill/', (row) => [withFields(row, { settled: [] })]),
  }),
};

const foreignChunk: PlantedFault = {
  name: "an engine sends a chunk of another request's answer",
  promise: PromiseName.WholeOwnAnswer,
  plant: () => ({
    event: (event) =>
      event.kind === EventKind.UpstreamChunk && event.chunk.index === 1
        ? { ...event, chunk: { ...event.chunk, text: 'foreign.1 ' } }
        : event,
  }),
};

const missingChunk: PlantedFault = {
  name: 'a chunk is lost on the way to the caller',
  promise: PromiseName.WholeOwnAnswer,
  plant: () => {
    let chunkCount = 0;
    return {
      effect: (effect) => {
        chunkCount += effect.kind === EffectKind.CallerChunk ? 1 : 0;
        return effect.kind === EffectKind.CallerChunk && chunkCount === 5 ? { ...effect, data: '' } : effect;
      },
    };
  },
};

/** Services whose connections break before the answer: the calls may have run. */
function breakServiceAnswers(): Tamper {
  const serviceAttempts = new Set<string>();
  const detail = 'The connection broke before the answer.';
  return {
    effect: (effect) => {
      if (
        effect.kind === EffectKind.UpstreamOpen &&
        effect.request.kind === UpstreamRequestKind.ServiceCall
      ) {
        serviceAttempts.add(effect.attemptId);
      }
      return effect;
    },
    event: (event) =>
      event.kind === EventKind.UpstreamEnded && serviceAttempts.has(event.attemptId)
        ? { kind: EventKind.UpstreamFailed, attemptId: event.attemptId, mayHaveReachedUpstream: true, detail }
        : event,
  };
}

function sayDidNotRun(effect: Effect): Effect {
  return effect.kind === EffectKind.CallerProblem
    ? { ...effect, problem: { ...effect.problem, verdict: Verdict.DidNotRun } }
    : effect;
}

const everyRefusalSaysNotRun: PlantedFault = {
  name: 'every refusal says that the request did not run',
  promise: PromiseName.TruthfulVerdict,
  disturb: breakServiceAnswers(),
  plant: () => ({ effect: sayDidNotRun }),
};

/** Only the first refusal after work began lies; later tries of the call are told the truth. */
const oneRefusalSaysNotRun: PlantedFault = {
  name: 'one of several tries of a call is told falsely that it did not run',
  promise: PromiseName.TruthfulVerdict,
  disturb: breakServiceAnswers(),
  plant: () => {
    let told = false;
    return {
      effect: (effect) => {
        const mayHaveRun =
          effect.kind === EffectKind.CallerProblem && effect.problem.verdict === Verdict.MayHaveRun;
        if (told || !mayHaveRun) {
          return effect;
        }
        told = true;
        return sayDidNotRun(effect);
      },
    };
  },
};

const claimsUnchecked: PlantedFault = {
  name: 'the table ignores the checks of claims',
  promise: PromiseName.AtMostOnce,
  plant: () => ({
    setUp: (simulation) => {
      changeCommits(simulation, ({ checks, writes }) => ({
        checks: checks.filter(({ key }) => !key.startsWith('claim/')),
        writes,
      }));
    },
    event: (event) => changeRows(event, 'claim/', () => []),
  }),
};

const serviceRepeats: PlantedFault = {
  name: 'a service runs one call twice',
  promise: PromiseName.AtMostOnce,
  plant: () => ({
    setUp: (simulation) => {
      const run = simulation.service.run.bind(simulation.service);
      simulation.service.run = (key) => {
        run(key);
        return run(key);
      };
    },
  }),
};

const leavingUnseen: PlantedFault = {
  name: 'the load reports hide that an engine is leaving',
  promise: PromiseName.LeavingUpstream,
  plant: () => ({
    event: (event) =>
      event.kind === EventKind.UpstreamProbed &&
      event.address === LEAVING_ENGINE_ADDRESS &&
      event.load !== undefined
        ? { ...event, load: { ...event.load, leaving: false } }
        : event,
  }),
};

/** The process of a stopping router ends at its next chunk to a caller. */
const exitWithOpenStreams: PlantedFault = {
  name: 'a stopping router exits with open streams',
  promise: PromiseName.GracefulStop,
  plant: () => {
    const stopping = new Set<number>();
    return {
      event: (event, hostIndex) => {
        if (event.kind === EventKind.StopRequested) {
          stopping.add(hostIndex);
        }
        return event;
      },
      effect: (effect, hostIndex) =>
        effect.kind === EffectKind.CallerChunk && stopping.has(hostIndex)
          ? { kind: EffectKind.Exit }
          : effect,
    };
  },
};

/** The streams that were open at the stop get a refusal instead of their end. */
const drainRefusesOpenStreams: PlantedFault = {
  name: 'a stopping router refuses streams in progress',
  promise: PromiseName.GracefulStop,
  plant: () => {
    const openBefore = new Map<string, boolean>();
    let stoppedIndex: number | undefined;
    return {
      event: (event, hostIndex) => {
        if (event.kind === EventKind.StopRequested) {
          stoppedIndex = hostIndex;
        }
        if (event.kind === EventKind.CallerArrived) {
          openBefore.set(event.exchangeId, stoppedIndex === undefined);
        }
        return event;
      },
      effect: (effect, hostIndex) =>
        effect.kind === EffectKind.CallerEnd &&
        hostIndex === stoppedIndex &&
        openBefore.get(effect.exchangeId) === true
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

const changeLost: PlantedFault = {
  name: 'the table confirms a change of a section without storing its text',
  promise: PromiseName.Configuration,
  plant: () => ({
    setUp: (simulation) => {
      changeCommits(simulation, ({ checks, writes }) => ({
        checks,
        writes: writes.filter(({ key }) => key !== 'config/section/classes'),
      }));
    },
  }),
};

/** Two of the three routers never hear of a revision above the first. */
const revisionsUnseen: PlantedFault = {
  name: 'routers see an old revision in the table and in heartbeats',
  promise: PromiseName.Configuration,
  plant: () => ({
    event: (event) => {
      if (event.kind === EventKind.PeerReceived && event.message.kind === PeerMessageKind.Heartbeat) {
        return { ...event, message: { ...event.message, configurationRevision: 1 } };
      }
      return changeRows(event, 'config/revision', (row) => [withFields(row, { revision: 1 })]);
    },
  }),
};

export const PLANTED_FAULTS: readonly PlantedFault[] = [
  topUpAppliedAgain,
  drawWithoutDebit,
  bucketForgets,
  foreignChunk,
  missingChunk,
  everyRefusalSaysNotRun,
  oneRefusalSaysNotRun,
  claimsUnchecked,
  serviceRepeats,
  leavingUnseen,
  exitWithOpenStreams,
  drainRefusesOpenStreams,
  changeLost,
  revisionsUnseen,
];
