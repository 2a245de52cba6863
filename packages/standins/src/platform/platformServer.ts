import type { IncomingMessage, ServerResponse } from 'node:http';
import type { TableOutcome, TableTransaction } from '@pimentostall/core';
import { TableOutcomeKind } from '@pimentostall/core';
import { delay } from '../common/delay.ts';
import type { RunningServer } from '../common/httpServer.ts';
import { readBody, readJson, RequestError, sendJson, startHttpServer } from '../common/httpServer.ts';
import { MemberList } from './memberList.ts';
import type { PlatformControl, PlatformSettings } from './settings.ts';
import { commitCallSchema, platformControlSchema, readCallSchema, scanCallSchema } from './settings.ts';
import { TableStore } from './tableStore.ts';

const OBJECT_PATH_PREFIX = '/objects/';

/** The platform stand-in: table service, object store and membership list behind one address. */
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
    const call = `${request.method ?? ''} ${request.url ?? ''}`;
    if (call === 'POST /control') {
      this.#control(await readJson(request, platformControlSchema));
      sendJson(response, 200, {});
      return;
    }
    if (call === 'GET /audit') {
      sendJson(response, 200, this.#table.counts);
      return;
    }
    if (this.#down) {
      request.socket.destroy();
      return;
    }
    await this.#serve(call, request, response);
  }

  async #serve(call: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    switch (call) {
      case 'POST /table/read': {
        const { keys } = await readJson(request, readCallSchema);
        await this.#answer(response, () => this.#table.read(keys));
        return;
      }
      case 'POST /table/scan': {
        const { keyPrefix } = await readJson(request, scanCallSchema);
        await this.#answer(response, () => this.#table.scan(keyPrefix));
        return;
      }
      case 'POST /table/commit': {
        const { checks, writes } = await readJson(request, commitCallSchema);
        const transaction = { checks, writes: writes.map(({ key, value }) => ({ key, value })) };
        await this.#commit(request, response, transaction);
        return;
      }
      case 'GET /members':
        await this.#answer(response, () => this.#members.rowsAt(Date.now()));
        return;
      default:
        await this.#serveObject(call, request, response);
    }
  }

  /** Half of the delay lies before the effect and half after, so that a timed-out write may have taken effect. */
  async #answer(response: ServerResponse, execute: () => readonly unknown[]): Promise<void> {
    const halfMs = this.#delayMs / 2;
    await delay(halfMs);
    const rows = execute();
    await delay(halfMs);
    sendJson(response, 200, { rows });
  }

  async #commit(
    request: IncomingMessage,
    response: ServerResponse,
    transaction: TableTransaction,
  ): Promise<void> {
    const halfMs = this.#delayMs / 2;
    await delay(halfMs);
    const outcome = this.#table.commit(transaction);
    await delay(halfMs);
    if (outcome.kind === TableOutcomeKind.Committed && this.#loseReplies > 0) {
      this.#loseReplies -= 1;
      request.socket.destroy();
      return;
    }
    sendOutcome(response, outcome);
  }

  async #serveObject(call: string, request: IncomingMessage, response: ServerResponse): Promise<void> {
    const [method, path = ''] = call.split(' ');
    if (!path.startsWith(OBJECT_PATH_PREFIX)) {
      throw new RequestError(404, `the platform has no call ${call}`);
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
    // The lag is set first, so that one call can change the lag and the list.
    if (control.memberLagMs !== undefined) {
      this.#members.setLag(control.memberLagMs);
    }
    if (control.members !== undefined) {
      this.#members.replace(control.members, Date.now());
    }
  }
}

function sendOutcome(response: ServerResponse, outcome: TableOutcome): void {
  switch (outcome.kind) {
    case TableOutcomeKind.Committed:
      sendJson(response, 200, { committed: true });
      return;
    case TableOutcomeKind.Conflict:
      sendJson(response, 409, { rows: outcome.rows });
      return;
    case TableOutcomeKind.Rows:
    case TableOutcomeKind.Unknown:
      throw new RequestError(500, `a commit cannot have the outcome ${outcome.kind}`);
  }
}

export async function startPlatform(settings: PlatformSettings): Promise<RunningServer> {
  const platform = new PlatformServer(settings);
  return startHttpServer(settings.address, (request, response) => platform.handle(request, response));
}
