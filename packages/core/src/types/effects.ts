import type { PeerMessage } from './messages.ts';
import type { EngineOrder } from './orders.ts';
import type { UpstreamRequest } from './requests.ts';
import type { TableTransaction } from './table.ts';
import type { Problem } from './verdict.ts';

export enum EffectKind {
  TableRead = 'tableRead',
  TableScan = 'tableScan',
  TableCommit = 'tableCommit',
  MembershipRead = 'membershipRead',
  PeerSend = 'peerSend',
  UpstreamOpen = 'upstreamOpen',
  UpstreamCancel = 'upstreamCancel',
  UpstreamProbe = 'upstreamProbe',
  EngineOrder = 'engineOrder',
  EngineModelsRead = 'engineModelsRead',
  CallerStart = 'callerStart',
  CallerChunk = 'callerChunk',
  CallerEnd = 'callerEnd',
  CallerProblem = 'callerProblem',
  AdminReply = 'adminReply',
  Log = 'log',
  Metric = 'metric',
  Exit = 'exit',
}

export enum LogLevel {
  Debug = 'debug',
  Info = 'info',
  Warn = 'warn',
  Error = 'error',
}

export enum MetricKind {
  TimeToFirstToken = 'timeToFirstToken',
  TimeBetweenTokens = 'timeBetweenTokens',
  TotalTime = 'totalTime',
  QueueWait = 'queueWait',
  Refused = 'refused',
  Answered = 'answered',
}

/** A side effect that the core requests. The adapters execute effects in order. */
export type Effect =
  | { readonly kind: EffectKind.TableRead; readonly callId: string; readonly keys: readonly string[] }
  | { readonly kind: EffectKind.TableScan; readonly callId: string; readonly keyPrefix: string }
  | { readonly kind: EffectKind.TableCommit; readonly callId: string; readonly transaction: TableTransaction }
  | { readonly kind: EffectKind.MembershipRead; readonly callId: string }
  | { readonly kind: EffectKind.PeerSend; readonly peerAddress: string; readonly message: PeerMessage }
  | {
      readonly kind: EffectKind.UpstreamOpen;
      readonly attemptId: string;
      readonly address: string;
      readonly request: UpstreamRequest;
      /** Caller whose full socket makes the adapter pause reading from the upstream. */
      readonly exchangeId: string | undefined;
      readonly deadlineMs: number;
    }
  | {
      readonly kind: EffectKind.UpstreamCancel;
      readonly attemptId: string;
      readonly address: string;
      readonly requestId: string;
      /** True cancels the work on the engine; false only stops reading, and the engine keeps the stream. */
      readonly stopExecution: boolean;
    }
  | { readonly kind: EffectKind.UpstreamProbe; readonly callId: string; readonly address: string }
  | {
      readonly kind: EffectKind.EngineOrder;
      readonly callId: string;
      readonly address: string;
      readonly order: EngineOrder;
    }
  | { readonly kind: EffectKind.EngineModelsRead; readonly callId: string; readonly address: string }
  | {
      readonly kind: EffectKind.CallerStart;
      readonly exchangeId: string;
      readonly status: number;
      readonly headers: Readonly<Record<string, string>>;
    }
  | { readonly kind: EffectKind.CallerChunk; readonly exchangeId: string; readonly data: string }
  | { readonly kind: EffectKind.CallerEnd; readonly exchangeId: string; readonly data: string }
  | {
      readonly kind: EffectKind.CallerProblem;
      readonly exchangeId: string;
      readonly problem: Problem;
      /** True if the response has already started; the problem then ends the stream as an error event. */
      readonly started: boolean;
    }
  | {
      readonly kind: EffectKind.AdminReply;
      readonly exchangeId: string;
      readonly status: number;
      readonly body: string;
    }
  | {
      readonly kind: EffectKind.Log;
      readonly level: LogLevel;
      readonly message: string;
      readonly fields: Readonly<Record<string, string | number | boolean>>;
    }
  | {
      readonly kind: EffectKind.Metric;
      readonly metric: MetricKind;
      readonly organisationId: string;
      readonly classId: string;
      /** Milliseconds for times, 1 for counters. */
      readonly value: number;
      readonly label: string;
    }
  | { readonly kind: EffectKind.Exit };
