import type { RandomSource } from '@pimentostall/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';

const ENTRY_TIMEOUT_MS = 1_500;

interface EntryAnswer {
  readonly addresses: readonly string[];
  readonly keepMs: number;
}

/** Asks any router for the addresses of an organisation and keeps the answer as long as it may. */
export class EntryCache {
  readonly #dispatcher: Dispatcher;
  readonly #routers: readonly string[];
  readonly #bearerKey: string;
  readonly #random: RandomSource;
  #addresses: readonly string[] = [];
  #validUntilMs = 0;

  /** `routers` are the known caller addresses, those of the caller's own region first. */
  constructor(dispatcher: Dispatcher, routers: readonly string[], bearerKey: string, random: RandomSource) {
    this.#dispatcher = dispatcher;
    this.#routers = routers;
    this.#bearerKey = bearerKey;
    this.#random = random;
  }

  /** Addresses to use now; empty if no router answers. */
  async addresses(nowMs: number): Promise<readonly string[]> {
    if (nowMs >= this.#validUntilMs) {
      await this.#refresh();
    }
    return this.#addresses;
  }

  /** Forgets the answer after a failure, so that the next attempt asks again. */
  forget(): void {
    this.#validUntilMs = 0;
  }

  async #refresh(): Promise<void> {
    const first = Math.floor(this.#random() * this.#routers.length);
    const order = [...this.#routers.slice(first), ...this.#routers.slice(0, first)];
    for (const router of order) {
      const answer = await askEntry(this.#dispatcher, router, this.#bearerKey);
      if (answer !== undefined && answer.addresses.length > 0) {
        this.#addresses = answer.addresses;
        this.#validUntilMs = Date.now() + answer.keepMs;
        return;
      }
    }
  }
}

/** The entry answer of one router; undefined if it gives none. */
export async function askEntry(
  dispatcher: Dispatcher,
  router: string,
  bearerKey: string,
): Promise<EntryAnswer | undefined> {
  try {
    const response = await request(`http://${router}/v1/entry`, {
      dispatcher,
      headers: { authorization: `Bearer ${bearerKey}` },
      signal: AbortSignal.timeout(ENTRY_TIMEOUT_MS),
    });
    const text = await response.body.text();
    return response.statusCode === 200 ? (JSON.parse(text) as EntryAnswer) : undefined;
  } catch {
    return undefined;
  }
}
