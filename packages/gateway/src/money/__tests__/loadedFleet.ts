import type { RandomSource } from '@pimentostall/core';
import { createBlackboard } from '../../blackboard.ts';
import type { GatewayContext } from '../../context.ts';
import { drainRouter } from '../../drain/drainController.ts';
import { GatewayMetrics } from '../../observability/metrics.ts';
import { createOptions } from '../../options.ts';
import { TaskLoop } from '../../runtime/taskLoop.ts';
import type { RouterEntry } from '../../types.ts';
import { settleTokens } from '../account.ts';
import { handleStoreRecovery, openAccount } from '../ledgerController.ts';
import type { LoanReply } from '../lending.ts';
import { acceptLoanReturn, lendTokens, revokeLoan } from '../lending.ts';
import { maintainLivenessRecord, readPreviousIncarnation } from '../liveness.ts';
import { reserveForRequest } from '../reserveForRequest.ts';
import { ReserveOutcomeKind } from '../reserveTokens.ts';
import { LoadedStore } from './loadedStore.ts';
import { Timeline } from './timeline.ts';

const REGIONS = ['east', 'west'];
/** One way between two routers. */
const REGION_LINK_MS = 8;
const LOCAL_LINK_MS = 1;
const LOAN_TIMEOUT_MS = 120;

export interface FleetSetup {
  readonly routerCount: number;
  /** Budgets by organisation. */
  readonly budgets: ReadonlyMap<string, number>;
  readonly random: RandomSource;
  /** Fraction of the replies of peers, and of the store, that are lost after the call was carried out. */
  readonly lostReplyFraction?: number;
}

/** What the fleet has done with the requests of one organisation. */
interface OrganisationState {
  budgetTokens: number;
  /** Most tokens that may be spent or reserved: the budget, or what was when it was cut. */
  ceilingTokens: number;
  /** Tokens spent, or reserved by requests that may be running. */
  spentTokens: number;
}

interface RouterProcess {
  readonly context: GatewayContext;
  alive: boolean;
}

/** Counts of refused requests. */
export interface Refusals {
  /** The budget had enough tokens that were neither spent nor reserved. */
  falseCount: number;
  trueCount: number;
}

/**
 * Routers of two regions with the production ledger, liveness and lending code, before a store with latency, queues and
 * rates. The fleet tracks spending independently of the ledgers: a reservation counts in full from the time at which
 * its request may be sent.
 */
export class LoadedFleet {
  readonly timeline = new Timeline();
  readonly store: LoadedStore;
  readonly organisations = new Map<string, OrganisationState>();
  readonly refusals: Refusals = { falseCount: 0, trueCount: 0 };
  readonly loans = { requested: 0, given: 0, returned: 0 };
  servedCount = 0;
  /** Number of requests by outcome. */
  readonly outcomes = new Map<ReserveOutcomeKind, number>();
  /** Waits for tokens of the served requests, in milliseconds. */
  readonly waitsMs: number[] = [];
  /** Refused requests by second and organisation, for a report. */
  readonly log: { atMs: number; organisationName: string; tokens: number; outcome: ReserveOutcomeKind }[] =
    [];
  private readonly routers: (RouterProcess | undefined)[];
  private readonly entries: RouterEntry[];
  private processCount = 0;

  constructor(private readonly setup: FleetSetup) {
    this.store = new LoadedStore(this.timeline, setup.routerCount, () => this.isReplyLost());
    for (const [name, budgetTokens] of setup.budgets) {
      this.organisations.set(name, { budgetTokens, ceilingTokens: budgetTokens, spentTokens: 0 });
    }
    this.routers = Array.from({ length: setup.routerCount }, () => undefined);
    this.entries = this.routers.map((_, index) => ({
      routerId: `router-${index}`,
      incarnationId: '',
      callerAddress: '',
      peerAddress: '',
      region: REGIONS[index % REGIONS.length] ?? '',
      availabilityZone: 'z',
      ready: true,
    }));
    for (const index of this.routers.keys()) {
      this.startRouter(index);
    }
  }

  get routerCount(): number {
    return this.routers.length;
  }

  contextOf(index: number): GatewayContext | undefined {
    const router = this.routers[index];
    return router?.alive === true ? router.context : undefined;
  }

  /** Throws if an organisation has spent more than its budget, or than it had when the budget was cut below that. */
  readonly checkBudgets = (): void => {
    for (const [name, { ceilingTokens, spentTokens }] of this.organisations) {
      if (spentTokens > ceilingTokens) {
        throw new Error(`${name}: ${spentTokens} tokens of ${ceilingTokens} are spent or reserved`);
      }
    }
  };

  startRouter(index: number): void {
    this.processCount += 1;
    const incarnationId = `life-${this.processCount}`;
    const entry = this.entries[index];
    if (entry === undefined) {
      return;
    }
    const self = { ...entry, incarnationId, ready: true };
    this.entries[index] = self;
    const router: RouterProcess = { context: this.createRouterContext(index, self), alive: true };
    this.routers[index] = router;
    this.setMembership();
    const { context } = router;
    const liveness = {
      read: () =>
        this.promise<{ record: ReturnType<LoadedStore['readLiveness']>; readAtStoreMs: number } | undefined>(
          router,
          (resolve) => {
            const reachable = this.store.reachable;
            this.timeline.schedule(4, () => {
              resolve(
                reachable
                  ? { record: this.store.readLiveness(index), readAtStoreMs: this.timeline.nowMs }
                  : undefined,
              );
            });
          },
        ),
      write: (record: Parameters<LoadedStore['writeLiveness']>[1]) =>
        this.promise<boolean>(router, (resolve) => {
          this.store.writeLiveness(index, record, resolve);
        }),
      storeTimeMs: () => this.timeline.nowMs,
    };
    const organisationNames = [...this.organisations.keys()];
    context.loop.spawn(
      'start',
      (function* () {
        yield* readPreviousIncarnation(context, liveness);
        context.loop.spawn('liveness', maintainLivenessRecord(context, liveness));
        for (const name of organisationNames) {
          openAccount(context, name);
        }
      })(),
    );
  }

  /** Ends a router at once; the others see it leave after `detectMs`. */
  kill(index: number, detectMs = 2_600): void {
    const router = this.routers[index];
    const entry = this.entries[index];
    if (router?.alive === true && entry !== undefined) {
      router.alive = false;
      this.timeline.schedule(detectMs, () => {
        if (this.routers[index] === router) {
          this.entries[index] = { ...entry, ready: false };
          this.setMembership();
        }
      });
    }
  }

  drain(index: number): void {
    const router = this.routers[index];
    const entry = this.entries[index];
    if (router?.alive !== true || entry === undefined) {
      return;
    }
    this.entries[index] = { ...entry, ready: false };
    this.setMembership();
    const { context } = router;
    context.loop.spawn(
      'drain',
      drainRouter(context, {
        endOpenRequests: () => undefined,
        stopAccepting: () => undefined,
        onDrainEnded: () => {
          router.alive = false;
        },
      }),
    );
  }

  /** Changes a budget; all routers learn of it at once. */
  setBudget(organisationName: string, budgetTokens: number): void {
    const organisation = this.organisations.get(organisationName);
    if (organisation === undefined) {
      return;
    }
    organisation.budgetTokens = budgetTokens;
    organisation.ceilingTokens = Math.max(budgetTokens, organisation.spentTokens);
    for (const router of this.routers) {
      if (router !== undefined) {
        router.context.board.configuration = this.configuration();
      }
    }
  }

  cutStore(): void {
    this.store.reachable = false;
  }

  recoverStore(): void {
    this.store.reachable = true;
    for (const router of this.routers) {
      if (router?.alive === true) {
        // Routers notice the recovery by their next call.
        this.timeline.schedule(this.setup.random() * 250, () => {
          handleStoreRecovery(router.context);
        });
      }
    }
  }

  /** Sends a request that reserves tokens and spends a part of them after `durationMs`. */
  request(
    index: number,
    organisationName: string,
    {
      tokens,
      spentTokens,
      targetMs,
      durationMs,
    }: Readonly<Record<'tokens' | 'spentTokens' | 'targetMs' | 'durationMs', number>>,
  ): void {
    const router = this.routers[index];
    const organisation = this.organisations.get(organisationName);
    if (router?.alive !== true || organisation === undefined) {
      return;
    }
    const { context } = router;
    const { timeline } = this;
    const sentAtMs = timeline.nowMs;
    const finish = (outcome: ReserveOutcomeKind): void => {
      this.outcomes.set(outcome, (this.outcomes.get(outcome) ?? 0) + 1);
      if (outcome !== ReserveOutcomeKind.Reserved) {
        const fits = organisation.budgetTokens - organisation.spentTokens >= tokens;
        this.refusals[fits ? 'falseCount' : 'trueCount'] += 1;
        if (fits) {
          this.log.push({ atMs: timeline.nowMs, organisationName, tokens, outcome });
        }
        return;
      }
      this.servedCount += 1;
      this.waitsMs.push(timeline.nowMs - sentAtMs);
      organisation.spentTokens += tokens;
      context.board.openRequests += 1;
      timeline.schedule(durationMs, () => {
        if (router.alive) {
          context.board.openRequests -= 1;
          organisation.spentTokens -= tokens - spentTokens;
          settleTokens(context, openAccount(context, organisationName), tokens, spentTokens);
        }
      });
    };
    context.loop.spawn(
      'request',
      (function* () {
        const outcome = yield* reserveForRequest(context, openAccount(context, organisationName), {
          tokens,
          targetMs,
          deadlineAtMs: context.loop.nowMs() + 4 * targetMs,
        });
        finish(outcome);
      })(),
    );
  }

  private createRouterContext(index: number, self: RouterEntry): GatewayContext {
    const { timeline, store, loans } = this;
    const isAlive = (): boolean => this.contextOf(index) === context;
    const board = createBlackboard();
    const loop = new TaskLoop(
      {
        nowMs: () => {
          timeline.recordReading();
          return timeline.nowMs;
        },
        startTimer: (delayMs, callback) =>
          timeline.schedule(delayMs, () => {
            if (isAlive()) {
              callback();
            }
          }),
      },
      (task, cause) => {
        throw new Error(`task ${task} failed`, { cause });
      },
    );
    const context: GatewayContext = {
      board,
      loop,
      options: createOptions()._unsafeUnwrap(),
      self,
      ledgerStore: {
        commit: (name, change, urgency) =>
          new Promise((resolve) => {
            store.commit(index, name, change, urgency, (outcome, replied) => {
              if (isAlive()) {
                board.storeLastReplyAtMs = replied ? timeline.nowMs : board.storeLastReplyAtMs;
                resolve(outcome);
              }
            });
          }),
      },
      peerPort: {
        borrow: (peer, request) =>
          this.peerCall<LoanReply>(self, peer, LOAN_TIMEOUT_MS, (lender, reply) => {
            loans.requested += 1;
            lender.loop.spawn(
              'loan',
              (function* () {
                const account = openAccount(lender, request.organisationName);
                const loan = yield* lendTokens(lender, account, request);
                loans.given += loan.tokens > 0 ? 1 : 0;
                reply(loan);
              })(),
            );
          }),
        cancel: async (peer, { loanId, organisationName }) => {
          const reply = await this.peerCall<true>(self, peer, 1_000, (lender, answer) => {
            revokeLoan(lender, openAccount(lender, organisationName), loanId);
            answer(true);
          });
          return reply === true;
        },
        returnLoan: async (peer, loanReturn) => {
          loans.returned += 1;
          const reply = await this.peerCall<true>(self, peer, 1_000, (lender, answer) => {
            acceptLoanReturn(lender, openAccount(lender, loanReturn.organisationName), loanReturn);
            answer(true);
          });
          return reply === true;
        },
      },
      suspectPort: { exchange: () => rejectCall() },
      upstreamPort: {
        open: () => rejectCall(),
        hasEnded: () => rejectCall(),
        watch: () => rejectCall(),
        removeUpstream: () => undefined,
      },
      log: () => undefined,
      metrics: new GatewayMetrics(),
      random: this.setup.random,
      location: { availabilityZone: self.availabilityZone, region: self.region, regionOf: () => self.region },
      maxRouterCount: () => this.routerCount,
    };
    board.storeLastReplyAtMs = timeline.nowMs;
    board.configuration = this.configuration();
    return context;
  }

  private configuration(): NonNullable<GatewayContext['board']['configuration']> {
    return {
      version: 1,
      routes: [],
      services: new Map(),
      organisations: new Map(
        [...this.organisations].map(([name, { budgetTokens }]) => [
          name,
          { name, keys: [], priority: undefined, allowedRegions: [], tokenBudget: budgetTokens },
        ]),
      ),
      requiresKeys: true,
      limits: { maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 },
    };
  }

  /** Calls a peer over a link; resolves with undefined if the peer does not reply in time. */
  private peerCall<T>(
    self: RouterEntry,
    peer: RouterEntry,
    timeoutMs: number,
    handle: (lender: GatewayContext, reply: (value: T) => void) => void,
  ): Promise<T | undefined> {
    const linkMs = peer.region === self.region ? LOCAL_LINK_MS : REGION_LINK_MS;
    const peerIndex = this.entries.findIndex(({ routerId }) => routerId === peer.routerId);
    return new Promise((resolve) => {
      this.timeline.schedule(timeoutMs, () => {
        resolve(undefined);
      });
      this.timeline.schedule(linkMs, () => {
        const lender = this.routers[peerIndex];
        const isLost = this.isReplyLost();
        if (lender?.alive === true) {
          handle(lender.context, (value) => {
            if (isLost) {
              return;
            }
            this.timeline.schedule(linkMs, () => {
              resolve(value);
            });
          });
        }
      });
    });
  }

  private isReplyLost(): boolean {
    const { lostReplyFraction = 0, random } = this.setup;
    return lostReplyFraction > 0 && random() < lostReplyFraction;
  }

  private promise<T>(router: RouterProcess, start: (resolve: (value: T) => void) => void): Promise<T> {
    return new Promise((resolve) => {
      start((value) => {
        if (router.alive) {
          resolve(value);
        }
      });
    });
  }

  /** All routers learn of a change at once. */
  private setMembership(): void {
    for (const router of this.routers) {
      for (const entry of router === undefined ? [] : this.entries) {
        router?.context.board.routers.set(entry.routerId, { entry, changedAtMs: this.timeline.nowMs });
      }
    }
  }
}

function rejectCall(): never {
  throw new Error('unexpected call');
}
