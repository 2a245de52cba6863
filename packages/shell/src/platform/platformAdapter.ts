import type { Effect, EffectKind, TableOutcome, TableRow, VmRow } from '@pimentostall/core';
import { EventKind, TableOutcomeKind } from '@pimentostall/core';
import { Agent } from 'undici';
import { readResponseBody } from '../http/readResponseBody.ts';
import type { ShellOptions } from '../options.ts';
import type { EventSink } from '../routerLoop.ts';

type EffectOf<K extends EffectKind> = Extract<Effect, { readonly kind: K }>;

interface PlatformResponse {
  readonly status: number;
  readonly body: { readonly rows?: unknown; readonly committed?: unknown };
}

const UNKNOWN_OUTCOME: TableOutcome = { kind: TableOutcomeKind.Unknown };

function isTableRow(row: unknown): row is TableRow {
  const { key, version, value } = (row ?? {}) as Partial<TableRow>;
  return typeof key === 'string' && Number.isSafeInteger(version) && value !== undefined;
}

function isVmRow(row: unknown): row is VmRow {
  const fields = (row ?? {}) as Record<string, unknown>;
  const names = ['vmId', 'address', 'role', 'state', 'region', 'availabilityZone'];
  return names.every((name) => typeof fields[name] === 'string');
}

function rowsOf<T>(response: PlatformResponse, isRow: (row: unknown) => row is T): readonly T[] | undefined {
  const { rows } = response.body;
  return Array.isArray(rows) && rows.every(isRow) ? rows : undefined;
}

function readOutcome(response: PlatformResponse | undefined): TableOutcome {
  const rows = response?.status === 200 ? rowsOf(response, isTableRow) : undefined;
  return rows === undefined ? UNKNOWN_OUTCOME : { kind: TableOutcomeKind.Rows, rows };
}

function commitOutcome(response: PlatformResponse | undefined): TableOutcome {
  if (response?.status === 200 && response.body.committed === true) {
    return { kind: TableOutcomeKind.Committed };
  }
  const rows = response?.status === 409 ? rowsOf(response, isTableRow) : undefined;
  return rows === undefined ? UNKNOWN_OUTCOME : { kind: TableOutcomeKind.Conflict, rows };
}

/** Client of the platform's table and membership list. A table call without a valid response is `Unknown`. */
export class PlatformAdapter {
  private readonly agent: Agent;

  constructor(
    private readonly sink: EventSink,
    private readonly options: ShellOptions,
    private readonly address: string,
  ) {
    this.agent = new Agent({ connect: { timeout: options.connectTimeoutMs }, pipelining: 1 });
  }

  read(effect: EffectOf<EffectKind.TableRead>): void {
    void this.call('POST', '/table/read', { keys: effect.keys }).then((response) => {
      this.submitOutcome(effect.callId, readOutcome(response));
    });
  }

  scan(effect: EffectOf<EffectKind.TableScan>): void {
    void this.call('POST', '/table/scan', { keyPrefix: effect.keyPrefix }).then((response) => {
      this.submitOutcome(effect.callId, readOutcome(response));
    });
  }

  commit(effect: EffectOf<EffectKind.TableCommit>): void {
    void this.call('POST', '/table/commit', effect.transaction).then((response) => {
      this.submitOutcome(effect.callId, commitOutcome(response));
    });
  }

  members(effect: EffectOf<EffectKind.MembershipRead>): void {
    void this.call('GET', '/members').then((response) => {
      const rows = response?.status === 200 ? rowsOf(response, isVmRow) : undefined;
      this.sink.submit({ kind: EventKind.MembershipReply, callId: effect.callId, rows });
    });
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private submitOutcome(callId: string, outcome: TableOutcome): void {
    this.sink.submit({ kind: EventKind.TableReply, callId, outcome });
  }

  private async call(
    method: 'GET' | 'POST',
    path: string,
    body?: unknown,
  ): Promise<PlatformResponse | undefined> {
    try {
      const response = await this.agent.request({
        origin: `http://${this.address}`,
        method,
        path,
        headers: body === undefined ? {} : { 'content-type': 'application/json' },
        body: body === undefined ? undefined : JSON.stringify(body),
        signal: AbortSignal.timeout(this.options.platformTimeoutMs),
      });
      const text = await readResponseBody(response.body, this.options.maxAnswerBytes);
      return { status: response.statusCode, body: (JSON.parse(text) ?? {}) as PlatformResponse['body'] };
    } catch {
      return undefined;
    }
  }
}
