import type { IncomingMessage, ServerResponse } from 'node:http';
import type { TableOutcome, TableTransaction } from '@pimentostall/core';
import { TableOutcomeKind } from '@pimentostall/core';
import { delay } from '../common/delay.ts';
import type { RunningServer } from '../common/httpServer.ts';
import { readBody, readJson, RequestError, sendJson, startHttpServer } from '../common/httpServer.ts';
import { MemberList } from './memberList.ts';
import type { PlatformControl, PlatformSettings } from './settings.ts';
import {
  commitRequestSchema,
  platformControlSchema,
  readRequestSchema,
  scanRequestSchema,
} from './settings.ts';
import { TableStore } from './tableStore.ts';

const OBJECT_PATH_PREFIX = '/objects/';

/** Stand-in for the platform: serves the table, the object store and the membership list on one address. */
class PlatformServer {
  readonly #table = new TableStore();
  readonly #objects = new Map<string, Buffer>();
  readonly #members: MemberList;
  #down = false;
  #delayMs: number;
  #loseReplies = 0;

  constructor(settings: PlatformSettings) {
    this.#members = new MemberList(settings.members, settings.memberLagMs);
    this.#delayMs = settings.delayMs;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const endpoint = `${request.method ?? ''} ${request.url ?? ''}`;
    if (endpoint === 'POST /control') {
      this.#control(await readJson(request, platformControlSchema));
      sendJson(response, 200, {});
      return;
    }
    if (endpoint === 'GET /audit') {
      sendJson(response, 200, this.#table.counts);
      return;
    }
    if (this.#down) {
      request.socket.destroy();
      return;
    }
    await this.#dispatch(endpoint, request, response);
  }

  async #dispatch(endpoint: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    switch (endpoint) {
      case 'POST /table/read': {
        const { keys } = await readJson(request, readRequestSchema);
        await this.#sendRows(response, () => this.#table.read(keys));
        return;
      }
      case 'POST /table/scan': {
        const { keyPrefix } = await readJson(request, scanRequestSchema);
        await this.#sendRows(response, () => this.#table.scan(keyPrefix));
        return;
      }
      case 'POST /table/commit': {
        const { checks, writes } = await readJson(request, commitRequestSchema);
        const transaction = { checks, writes: writes.map(({ key, value }) => ({ key, value })) };
        await this.#handleCommit(request, response, transaction);
        return;
      }
      case 'GET /members':
        await this.#sendRows(response, () => this.#members.rowsAt(Date.now()));
        return;
      default:
        await this.#handleObject(endpoint, request, response);
    }
  }

  /** Waits half of the delay before the operation and half after it, as `#handleCommit` does. */
  async #sendRows(response: ServerResponse, execute: () => readonly unknown[]): Promise<void> {
    const halfDelayMs = this.#delayMs / 2;
    await delay(halfDelayMs);
    const rows = execute();
    await delay(halfDelayMs);
    sendJson(response, 200, { rows });
  }

  /**
   * Waits half of the delay before the commit and half after it, so that a commit whose request timed out may have
   * been applied. A lost reply closes the connection after the commit was applied.
   */
  async #handleCommit(
    request: IncomingMessage,
    response: ServerResponse,
    transaction: TableTransaction,
  ): Promise<void> {
    const halfDelayMs = this.#delayMs / 2;
    await delay(halfDelayMs);
    const outcome = this.#table.commit(transaction);
    await delay(halfDelayMs);
    if (outcome.kind === TableOutcomeKind.Committed && this.#loseReplies > 0) {
      this.#loseReplies -= 1;
      request.socket.destroy();
      return;
    }
    sendCommitOutcome(response, outcome);
  }

  async #handleObject(endpoint: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [method, path = ''] = endpoint.split(' ');
    if (!path.startsWith(OBJECT_PATH_PREFIX)) {
      throw new RequestError(404, `the platform has no endpoint ${endpoint}`);
    }
    const name = decodeURIComponent(path.slice(OBJECT_PATH_PREFIX.length));
    await delay(this.#delayMs);
    if (method === 'PUT') {
      this.#objects.set(name, await readBody(request));
      sendJson(response, 200, {});
      return;
    }
    const object = this.#objects.get(name);
    if (object === undefined) {
      throw new RequestError(404, `object "${name}" does not exist`);
    }
    response.writeHead(200, { 'content-type': 'application/octet-stream' });
    response.end(object);
  }

  #control(control: PlatformControl): void {
    this.#down = control.down ?? this.#down;
    this.#delayMs = control.delayMs ?? this.#delayMs;
    this.#loseReplies = control.loseReplies ?? this.#loseReplies;
    // The lag is set first, so that it applies to a membership list in the same request.
    if (control.memberLagMs !== undefined) {
      this.#members.setLag(control.memberLagMs);
    }
    if (control.members !== undefined) {
      this.#members.replace(control.members, Date.now());
    }
  }
}

function sendCommitOutcome(response: ServerResponse, outcome: TableOutcome): void {
  switch (outcome.kind) {
    case TableOutcomeKind.Committed:
      sendJson(response, 200, { committed: true });
      return;
    case TableOutcomeKind.Conflict:
      sendJson(response, 409, { rows: outcome.rows });
      return;
    case TableOutcomeKind.Rows:
    case TableOutcomeKind.Unknown:
      throw new RequestError(500, `unexpected outcome of a commit: ${outcome.kind}`);
  }
}

export async function startPlatform(settings: PlatformSettings): Promise<RunningServer> {
  const platform = new PlatformServer(settings);
  return startHttpServer(settings.address, (request, response) => platform.handle(request, response));
}
