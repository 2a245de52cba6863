import type { RandomSource } from '@pimentostall/core';
import type { Dispatcher } from 'undici';
import { request } from 'undici';

const ENTRY_TIMEOUT_MS = 1_500;

interface EntryResponse {
  readonly addresses: readonly string[];
  readonly keepMs: number;
}

/** Fetches the entry addresses of an organisation from any router and caches them for the time the router allows. */
export class EntryCache {
  readonly #dispatcher: Dispatcher;
  readonly #routers: readonly string[];
  readonly #bearerKey: string;
  readonly #random: RandomSource;
  #addresses: readonly string[] = [];
  #validUntilMs = 0;

  /** `routers` are the caller addresses of the known routers. */
  constructor(dispatcher: Dispatcher, routers: readonly string[], bearerKey: string, random: RandomSource) {
    this.#dispatcher = dispatcher;
    this.#routers = routers;
    this.#bearerKey = bearerKey;
    this.#random = random;
  }

  /** Returns the cached addresses, or fetches them if they have expired; empty if no router has ever answered. */
  async addresses(nowMs: number): Promise<readonly string[]> {
    if (nowMs >= this.#validUntilMs) {
      await this.#refresh();
    }
    return this.#addresses;
  }

  /** Makes the next call of `addresses` fetch them again. */
  invalidate(): void {
    this.#validUntilMs = 0;
  }

  async #refresh(): Promise<void> {
    const first = Math.floor(this.#random() * this.#routers.length);
    const order = [...this.#routers.slice(first), ...this.#routers.slice(0, first)];
    for (const router of order) {
      const answer = await fetchEntry(this.#dispatcher, router, this.#bearerKey);
      if (answer !== undefined && answer.addresses.length > 0) {
        this.#addresses = answer.addresses;
        this.#validUntilMs = Date.now() + answer.keepMs;
        return;
      }
    }
  }
}

/** Fetches the entry addresses from one router; undefined if the request fails. */
export async function fetchEntry(
  dispatcher: Dispatcher,
  router: string,
  bearerKey: string,
): Promise<EntryResponse | undefined> {
  try {
    const response = await request(`http://${router}/v1/entry`, {
      dispatcher,
      headers: { authorization: `Bearer ${bearerKey}` },
      signal: AbortSignal.timeout(ENTRY_TIMEOUT_MS),
    });
    const text = await response.body.text();
    return response.statusCode === 200 ? (JSON.parse(text) as EntryResponse) : undefined;
  } catch {
    return undefined;
  }
}
