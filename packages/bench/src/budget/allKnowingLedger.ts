import type { Organisation } from './types.ts';

interface Account {
  fundedMicros: number;
  usedMicros: number;
  /** Worst-case cost of the running requests. */
  reservedMicros: number;
}

/**
 * A ledger that sees every start and end of a request without delay. It is the upper bound of what a strategy can
 * admit, and decides which refusals were false.
 */
export class AllKnowingLedger {
  private readonly accounts: ReadonlyMap<string, Account>;

  constructor(organisations: readonly Organisation[]) {
    this.accounts = new Map(
      organisations.map(({ organisationId, fundedMicros }) => [
        organisationId,
        { fundedMicros, usedMicros: 0, reservedMicros: 0 },
      ]),
    );
  }

  covers(organisationId: string, worstCaseMicros: number): boolean {
    const { fundedMicros, usedMicros, reservedMicros } = this.account(organisationId);
    return fundedMicros - usedMicros - reservedMicros >= worstCaseMicros;
  }

  fund(organisationId: string, amountMicros: number): void {
    this.account(organisationId).fundedMicros += amountMicros;
  }

  start(organisationId: string, worstCaseMicros: number): void {
    this.account(organisationId).reservedMicros += worstCaseMicros;
  }

  finish(organisationId: string, worstCaseMicros: number, actualMicros: number): void {
    const account = this.account(organisationId);
    account.reservedMicros -= worstCaseMicros;
    account.usedMicros += actualMicros;
  }

  /** Actual usage beyond the funding, summed over all organisations. */
  get overspendMicros(): number {
    return [...this.accounts.values()].reduce(
      (sum, { fundedMicros, usedMicros }) => sum + Math.max(0, usedMicros - fundedMicros),
      0,
    );
  }

  availableBudgetMicros(organisationId: string): number {
    const { fundedMicros, usedMicros, reservedMicros } = this.account(organisationId);
    return fundedMicros - usedMicros - reservedMicros;
  }

  private account(organisationId: string): Account {
    const account = this.accounts.get(organisationId);
    if (account === undefined) {
      throw new Error(`organisation "${organisationId}" has no account in the ledger`);
    }
    return account;
  }
}
