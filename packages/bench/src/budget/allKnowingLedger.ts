import type { Organisation } from './types.ts';

interface Account {
  fundedMicros: number;
  usedMicros: number;
  /** Worst cases of requests that run now. */
  openMicros: number;
}

/** A ledger that sees every start and end at once. It bounds what any strategy can admit, and judges refusals. */
export class AllKnowingLedger {
  private readonly accounts: ReadonlyMap<string, Account>;

  constructor(organisations: readonly Organisation[]) {
    this.accounts = new Map(
      organisations.map(({ organisationId, fundedMicros }) => [
        organisationId,
        { fundedMicros, usedMicros: 0, openMicros: 0 },
      ]),
    );
  }

  covers(organisationId: string, worstCaseMicros: number): boolean {
    const { fundedMicros, usedMicros, openMicros } = this.account(organisationId);
    return fundedMicros - usedMicros - openMicros >= worstCaseMicros;
  }

  fund(organisationId: string, amountMicros: number): void {
    this.account(organisationId).fundedMicros += amountMicros;
  }

  start(organisationId: string, worstCaseMicros: number): void {
    this.account(organisationId).openMicros += worstCaseMicros;
  }

  finish(organisationId: string, worstCaseMicros: number, actualMicros: number): void {
    const account = this.account(organisationId);
    account.openMicros -= worstCaseMicros;
    account.usedMicros += actualMicros;
  }

  /** Real usage beyond the funding, over all organisations. */
  get overspendMicros(): number {
    return [...this.accounts.values()].reduce(
      (sum, { fundedMicros, usedMicros }) => sum + Math.max(0, usedMicros - fundedMicros),
      0,
    );
  }

  remainderMicros(organisationId: string): number {
    const { fundedMicros, usedMicros, openMicros } = this.account(organisationId);
    return fundedMicros - usedMicros - openMicros;
  }

  private account(organisationId: string): Account {
    const account = this.accounts.get(organisationId);
    if (account === undefined) {
      throw new Error(`organisation "${organisationId}" has no account in the ledger`);
    }
    return account;
  }
}
