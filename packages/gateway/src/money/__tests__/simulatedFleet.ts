import type { RandomSource } from '@pimentostall/core';
import type { GatewayContext } from '../../context.ts';
import { drainRouter } from '../../drain/drainController.ts';
import type { LedgerAccount } from '../account.ts';
import { settleTokens } from '../account.ts';
import { handleStoreRecovery } from '../ledgerController.ts';
import type { LoanReply, LoanReturn } from '../lending.ts';
import { acceptLoanReturn, lendTokens, revokeLoan } from '../lending.ts';
import type { LivenessRecord } from '../liveness.ts';
import { reserveTokens, ReserveOutcomeKind } from '../reserveTokens.ts';
import { beginStoreEra, restorationStatus } from '../storeRestoration.ts';
import type { LedgerChange, LedgerOutcome } from '../types.ts';
import { LedgerOutcomeKind } from '../types.ts';
import { NEVER_VERSION, versionInEra } from '../../storeEra/storePosition.ts';
import type { RouterEntry } from '../../types.ts';
import type { RowsCopy } from './simulatedRows.ts';
import { SimulatedRows } from './simulatedRows.ts';
import { ORGANISATION, SimulatedRouter } from './simulatedRouter.ts';
import { Timeline } from './timeline.ts';

const ANSWER_MS = 5;
/** Time after which a call without a reply ends. */
const TIMEOUT_MS = 300;
/** Maximum delay of a late write. */
const MAX_WRITE_DELAY_MS = 2_000;

/** How the store treats a router's calls. */
export enum StoreMode {
  Up = 'up',
  Unreachable = 'unreachable',
  /** Writes are applied, but the replies are lost. */
  AnswersLost = 'answers-lost',
  /** Writes are applied with a delay if their versions still match, and the replies are lost. */
  WritesLate = 'writes-late',
  /** Budget changes are rejected immediately, as above the write rate; other calls succeed. */
  Busy = 'busy',
}

/**
 * Routers that run the production ledger, liveness and lending code against a simulated store. The fleet tracks
 * spending independently of the ledgers: a reservation counts in full from the time at which its request may be sent.
 */
export class SimulatedFleet {
  readonly timeline = new Timeline();
  readonly modes: StoreMode[];
  /** Tokens spent, or reserved by requests that may be running. */
  spentTokens = 0;
  servedCount = 0;
  /** Liveness records that routers wrote. */
  livenessWriteCount = 0;
  /** Tokens of loans whose replies were lost. */
  lostLoanTokens = 0;
  private readonly routerProcesses: (SimulatedRouter | undefined)[];
  private readonly pausedUntilMs: number[];
  private readonly pausedTotalMs: number[];
  private processCount = 0;
  private readonly rows: SimulatedRows;
  private readonly clockSeen = new Map<SimulatedRouter, { storeMs: number; seenAtMs: number }>();

  constructor(
    routerCount: number,
    readonly budgetTokens: number,
    readonly random: RandomSource,
    /** Number of returns of the store from a copy; undefined for a store that does not state it. */
    storeEra?: number,
  ) {
    this.rows = new SimulatedRows(storeEra);
    this.modes = Array.from({ length: routerCount }, () => StoreMode.Up);
    this.routerProcesses = Array.from({ length: routerCount }, () => undefined);
    this.pausedUntilMs = Array.from({ length: routerCount }, () => 0);
    this.pausedTotalMs = Array.from({ length: routerCount }, () => 0);
    for (const index of this.routerIndexes()) {
      this.startRouter(index);
    }
  }

  /** Number of budget changes by their outcome at the store. */
  get commits(): SimulatedRows['commits'] {
    return this.rows.commits;
  }

  /** Tokens debited from the budget by all routers. */
  get grantedTokens(): number {
    return this.rows.total?.value.grantedTokens ?? 0;
  }

  /** Tokens of terminated incarnations that may have been spent without being reported. */
  get strandedTokens(): number {
    return this.rows.total?.value.strandedTokens ?? 0;
  }

  routerIndexes(): number[] {
    return this.modes.map((_, index) => index);
  }

  configuration(): GatewayContext['board']['configuration'] {
    const { budgetTokens } = this;
    return {
      version: 1,
      routes: [],
      services: new Map(),
      organisations: new Map([
        [
          ORGANISATION,
          {
            name: ORGANISATION,
            keys: [],
            priority: undefined,
            tokenBudget: budgetTokens,
            allowedRegions: [],
          },
        ],
      ]),
      requiresKeys: true,
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
  }

  rejectUpstreamCall(): never {
    throw new Error('unexpected upstream call');
  }

  startRouter(index: number): void {
    if (this.routerProcesses[index]?.alive !== true) {
      this.processCount += 1;
      const routerProcess = new SimulatedRouter(this, index, `life-${this.processCount}`);
      this.routerProcesses[index] = routerProcess;
      routerProcess.start();
    }
  }

  takeCopy(): RowsCopy {
    return this.rows.takeCopy();
  }

  /** The store comes back from a copy: what was written since is lost, and its versions are given out again. */
  returnFromCopy(copy: RowsCopy): void {
    this.rows.returnFromCopy(copy);
  }

  /** Writes a router's row and reads those of the others, as their heartbeats and followers do. */
  exchangeRows(routerProcess: SimulatedRouter): Promise<ReadonlyMap<number, RouterEntry> | undefined> {
    const { board, self } = routerProcess.context;
    const entry = { ...self, ...restorationStatus(board) };
    const exchange = (): ReadonlyMap<number, RouterEntry> => {
      this.rows.routerRows.set(routerProcess.routerIndex, entry);
      return new Map(this.rows.routerRows);
    };
    return this.call(routerProcess, exchange, undefined, false);
  }

  get hasEras(): boolean {
    return this.rows.storeEra !== undefined;
  }

  /** Makes the store reachable again for a router, whose store client then reports the recovery. */
  recoverStore(index: number): void {
    this.modes[index] = StoreMode.Up;
    const routerProcess = this.routerProcesses[index];
    routerProcess?.run(() => {
      handleStoreRecovery(routerProcess.context);
    });
  }

  kill(index: number): void {
    const routerProcess = this.routerProcesses[index];
    if (routerProcess !== undefined) {
      routerProcess.alive = false;
    }
  }

  /** Stops a router gracefully; its process ends with its drain. */
  drain(index: number): void {
    const routerProcess = this.routerProcesses[index];
    if (routerProcess === undefined) {
      return;
    }
    const { context, cutRequests } = routerProcess;
    const actions = {
      endOpenRequests: () => {
        if (context.board.endingResponses) {
          for (const cut of cutRequests) {
            cut();
          }
        }
      },
      stopAccepting: () => undefined,
      onDrainEnded: () => {
        this.kill(index);
      },
    };
    routerProcess.run(() => {
      context.loop.spawn('drain', drainRouter(context, actions));
    });
  }

  isRunning(index: number): boolean {
    return this.routerProcesses[index]?.alive === true;
  }

  pause(index: number, durationMs: number): void {
    if (this.pauseLeftMs(index) === 0) {
      this.pausedUntilMs[index] = this.timeline.nowMs + durationMs;
      this.pausedTotalMs[index] = (this.pausedTotalMs[index] ?? 0) + durationMs;
    }
  }

  pauseLeftMs(index: number): number {
    return Math.max(0, (this.pausedUntilMs[index] ?? 0) - this.timeline.nowMs);
  }

  /** Total time for which the router's monotonic clock was stopped. */
  pausedMs(index: number): number {
    return (this.pausedTotalMs[index] ?? 0) - this.pauseLeftMs(index);
  }

  /** Demand that a router has recorded for its own requests. */
  demandTokensPerSecond(index: number): number {
    const context = this.routerProcesses[index]?.context;
    const account = context?.board.accounts.get(ORGANISATION);
    return account === undefined || context === undefined
      ? 0
      : account.ledger.demandTokens(1_000, context.loop.nowMs());
  }

  /** Sends a request that reserves tokens and spends a part of them after `durationMs`. */
  request(index: number, tokens: number, spentPart: number, durationMs: number): void {
    const routerProcess = this.routerProcesses[index];
    const account = routerProcess?.context.board.accounts.get(ORGANISATION);
    if (routerProcess?.alive !== true || account === undefined) {
      return;
    }
    const { context } = routerProcess;
    const { timeline } = this;
    const settle = (): void => {
      const spent = Math.floor(tokens * spentPart);
      routerProcess.run(() => {
        if (!routerProcess.cutRequests.delete(settle)) {
          return;
        }
        context.board.openRequests -= 1;
        this.spentTokens -= tokens - spent;
        settleTokens(context, account, tokens, spent);
      });
    };
    const reserved = (): void => {
      this.servedCount += 1;
      this.spentTokens += tokens;
      context.board.openRequests += 1;
      routerProcess.cutRequests.add(settle);
      timeline.schedule(durationMs, settle);
    };
    routerProcess.run(() => {
      context.loop.spawn(
        'request',
        (function* () {
          const untilMs = context.loop.nowMs() + 200;
          const outcome = yield* reserveTokens(context, account, tokens, {
            waitUntilMs: () => untilMs,
            forLoan: false,
          });
          if (outcome === ReserveOutcomeKind.Reserved) {
            reserved();
          }
        })(),
      );
    });
  }

  commit(routerProcess: SimulatedRouter, change: LedgerChange): Promise<LedgerOutcome> {
    if (this.modes[routerProcess.routerIndex] === StoreMode.Busy) {
      this.commits.rejected += 1;
      routerProcess.context.board.storeLastReplyAtMs = routerProcess.context.loop.nowMs();
      return Promise.resolve({ kind: LedgerOutcomeKind.Rejected, detail: 'busy' });
    }
    const { storeEra: knownEra } = routerProcess.context.board;
    const encode = (position: number): number => versionInEra(knownEra, position) ?? NEVER_VERSION;
    const { shareVersion, totalVersion } = change.base;
    const sent = { shareVersion: encode(shareVersion), totalVersion: encode(totalVersion) };
    const apply = (): LedgerOutcome => this.rows.apply(routerProcess.routerIndex, change, sent, knownEra);
    return this.call(routerProcess, apply, { kind: LedgerOutcomeKind.Unknown, detail: '' }, true);
  }

  readLiveness(
    routerProcess: SimulatedRouter,
  ): Promise<{ record: LivenessRecord | undefined; readAtStoreMs: number } | undefined> {
    const read = (): { record: LivenessRecord | undefined; readAtStoreMs: number } => ({
      record: this.rows.records.get(routerProcess.routerIndex),
      readAtStoreMs: this.timeline.nowMs,
    });
    return this.call(routerProcess, read, undefined, false);
  }

  writeLiveness(routerProcess: SimulatedRouter, record: LivenessRecord): Promise<boolean> {
    const write = (): boolean => {
      this.livenessWriteCount += 1;
      this.rows.records.set(routerProcess.routerIndex, record);
      return true;
    };
    return this.call(routerProcess, write, false, true);
  }

  storeTimeSeen(routerProcess: SimulatedRouter): number | undefined {
    const seen = this.clockSeen.get(routerProcess);
    return seen === undefined
      ? undefined
      : seen.storeMs + (routerProcess.context.loop.nowMs() - seen.seenAtMs);
  }

  borrow(
    borrower: SimulatedRouter,
    lenderId: string,
    request: Parameters<GatewayContext['peerPort']['borrow']>[1],
  ): Promise<LoanReply | undefined> {
    const lender = this.routerProcesses.find((candidate) => candidate?.context.self.routerId === lenderId);
    const account = lender?.context.board.accounts.get(ORGANISATION);
    return new Promise((resolve) => {
      const answer = (reply: LoanReply | undefined): void => {
        this.timeline.schedule(1, () => {
          borrower.run(() => {
            resolve(reply);
          });
        });
      };
      if (lender?.alive !== true || account === undefined || this.random() < 0.1) {
        answer({
          tokens: 0,
          lenderIncarnationId: undefined,
          undrawnTokens: undefined,
          heldTokens: 0,
          remainingTokens: undefined,
          outstandingTokens: 0,
          grant: undefined,
        });
        return;
      }
      const lose = this.random() < 0.1;
      const recordLost = (tokens: number): void => {
        this.lostLoanTokens += tokens;
      };
      lender.run(() => {
        lender.context.loop.spawn(
          'loan',
          (function* () {
            const reply = yield* lendTokens(lender.context, account, request);
            recordLost(lose ? reply.tokens : 0);
            answer(lose ? undefined : reply);
          })(),
        );
      });
    });
  }

  /** Replies to cancellations and returns are lost with the same probability as replies to loans. */
  cancelLoan(borrower: SimulatedRouter, lenderId: string, loanId: string): Promise<boolean> {
    return this.callLender(borrower, lenderId, ({ context }, account) => {
      revokeLoan(context, account, loanId);
    });
  }

  returnLoan(borrower: SimulatedRouter, lenderId: string, loanReturn: LoanReturn): Promise<boolean> {
    return this.callLender(borrower, lenderId, ({ context }, account) => {
      acceptLoanReturn(context, account, loanReturn);
    });
  }

  private callLender(
    borrower: SimulatedRouter,
    lenderId: string,
    handle: (lender: SimulatedRouter, account: LedgerAccount) => void,
  ): Promise<boolean> {
    const lender = this.routerProcesses.find((candidate) => candidate?.context.self.routerId === lenderId);
    const account = lender?.context.board.accounts.get(ORGANISATION);
    return new Promise((resolve) => {
      const answer = (heard: boolean): void => {
        this.timeline.schedule(1, () => {
          borrower.run(() => {
            resolve(heard);
          });
        });
      };
      if (lender?.alive !== true || account === undefined) {
        answer(false);
        return;
      }
      const lose = this.random() < 0.1;
      lender.run(() => {
        handle(lender, account);
        answer(!lose);
      });
    });
  }

  private call<T>(routerProcess: SimulatedRouter, apply: () => T, noAnswer: T, isWrite: boolean): Promise<T> {
    const mode = this.modes[routerProcess.routerIndex] ?? StoreMode.Up;
    return new Promise((resolve) => {
      const finish = (delayMs: number, value: () => T, answered: boolean): void => {
        this.timeline.schedule(delayMs, () => {
          const result = value();
          const { storeEra } = this.rows;
          const storeMs = this.timeline.nowMs;
          routerProcess.run(() => {
            const { board } = routerProcess.context;
            if (answered && storeEra !== undefined) {
              if (storeEra < (board.storeEra ?? -Infinity)) {
                resolve(noAnswer);
                return;
              }
              if (storeEra !== board.storeEra) {
                beginStoreEra(routerProcess.context, storeEra);
              }
            }
            if (answered) {
              routerProcess.context.board.storeLastReplyAtMs = routerProcess.context.loop.nowMs();
              this.clockSeen.set(routerProcess, { storeMs, seenAtMs: routerProcess.context.loop.nowMs() });
            }
            resolve(result);
          });
        });
      };
      if (mode === StoreMode.Up || mode === StoreMode.Busy || (!isWrite && mode !== StoreMode.Unreachable)) {
        finish(ANSWER_MS, apply, true);
        return;
      }
      if (mode === StoreMode.AnswersLost) {
        this.timeline.schedule(ANSWER_MS, apply);
      }
      if (mode === StoreMode.WritesLate) {
        this.timeline.schedule(this.random() * MAX_WRITE_DELAY_MS, apply);
      }
      finish(TIMEOUT_MS, () => noAnswer, false);
    });
  }
}
