import type { ServerResponse } from 'node:http';
import { promisify } from 'node:util';
import { constants, gunzip, gzip } from 'node:zlib';
import type { Task } from '@pimentostall/core';
import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import { Agent } from 'undici';
import { documentSilentMs, waitForNewerDocument } from '../configuration/documentState.ts';
import type {
  ConfigurationDocument,
  DocumentReading,
  DocumentRelayPort,
  KnownDocument,
} from '../configuration/types.ts';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import { decodeEvacuations, encodeEvacuations, ZONES_VERSION_PARAMETER } from './evacuationHeaders.ts';
import { ProgressTimeout } from './progressTimeout.ts';
import type { FetchedResponse } from './fetchResponse.ts';
import { fetchResponse } from './fetchResponse.ts';

const DOCUMENT_PATH = '/configuration';
const NEWER_THAN_PARAMETER = 'newer-than';
const WAIT_PARAMETER = 'wait-ms';
const DOCUMENT_VERSION_HEADER = 'document-version';
const SEEN_VERSION_HEADER = 'seen-version';
const SILENT_HEADER = 'silent-ms';

/** Longest wait that a relay grants. */
const MAX_WAIT_MS = 2_000;
/** Timeout of a poll in addition to its wait: a silent relay delays a version by this time. */
const POLL_TIMEOUT_MS = 500;
/** Limit for the transfer of a large document that keeps arriving. */
const TRANSFER_LIMIT_MS = 3_000;
/** Limit for a decompressed document: several times the largest that the store accepts. */
const MAX_DOCUMENT_BYTES = 16_777_216;

const gzipAsync = promisify(gzip);
const gunzipAsync = promisify(gunzip);

/** HTTP client that polls relays for the configuration document. */
export class PeerDocuments implements DocumentRelayPort {
  // Apart from the connections for loans, which must not wait for a long poll.
  private readonly agent = new Agent({ connections: 1, connect: { timeout: POLL_TIMEOUT_MS } });

  async poll(
    relay: RouterEntry,
    { documentVersion, evacuations }: KnownDocument,
    waitMs: number,
  ): Promise<Result<DocumentReading | undefined, string>> {
    const timeout = new ProgressTimeout({
      firstByteMs: waitMs + POLL_TIMEOUT_MS,
      stallMs: POLL_TIMEOUT_MS,
      limitMs: waitMs + TRANSFER_LIMIT_MS,
    });
    const query = new URLSearchParams({
      [NEWER_THAN_PARAMETER]: String(documentVersion ?? 0),
      [WAIT_PARAMETER]: String(Math.round(waitMs)),
      [ZONES_VERSION_PARAMETER]: String(evacuations?.version ?? 0),
    });
    try {
      let respondedAtMs: number | undefined;
      const response = await fetchResponse(
        this.agent,
        {
          origin: `http://${relay.peerAddress}`,
          method: 'GET',
          path: `${DOCUMENT_PATH}?${query.toString()}`,
        },
        timeout,
        () => {
          respondedAtMs ??= performance.now();
        },
      );
      const nowMs = performance.now();
      return await decodeReply(response, nowMs - (respondedAtMs ?? nowMs));
    } catch (cause) {
      return err(String(cause));
    } finally {
      timeout.clear();
    }
  }
}

async function decodeReply(
  { status, headers, body }: FetchedResponse,
  transferMs: number,
): Promise<Result<DocumentReading | undefined, string>> {
  if (status !== 200 && status !== 204) {
    return err(`the relay replied with status ${status}`);
  }
  const seenVersion = decodeNumber(headers[SEEN_VERSION_HEADER]);
  const relaySilentMs = decodeNumber(headers[SILENT_HEADER]);
  if (seenVersion === undefined || relaySilentMs === undefined) {
    return ok(undefined);
  }
  const silentMs = relaySilentMs + transferMs;
  const evacuations = decodeEvacuations(headers);
  if (status === 204) {
    return ok({ document: undefined, seenVersion, silentMs, evacuations });
  }
  const version = decodeNumber(headers[DOCUMENT_VERSION_HEADER]);
  if (version === undefined) {
    return err(`the relay's reply has no ${DOCUMENT_VERSION_HEADER}`);
  }
  const text = (await gunzipAsync(body, { maxOutputLength: MAX_DOCUMENT_BYTES })).toString('utf8');
  return ok({ document: { version, text }, seenVersion, silentMs, evacuations });
}

/** Passes the configuration document of this router on to its peers. */
export class DocumentRelay {
  /** The newest document that was sent, compressed once for all followers. */
  private compressed: { readonly version: number; readonly body: Promise<Buffer | undefined> } | undefined;

  constructor(
    private readonly context: GatewayContext,
    private readonly gzipText: (text: string) => Promise<Buffer> = (text) =>
      gzipAsync(text, { level: constants.Z_BEST_SPEED }),
  ) {}

  /** Answers a poll once there is a newer document or its wait ends. Returns false if the URL is no valid poll. */
  answerPoll(url: string, response: ServerResponse): boolean {
    const [path, query] = url.split('?');
    if (path !== DOCUMENT_PATH) {
      return false;
    }
    const parameters = new URLSearchParams(query);
    const newerThan = decodeNumber(parameters.get(NEWER_THAN_PARAMETER));
    const waitMs = decodeNumber(parameters.get(WAIT_PARAMETER));
    if (newerThan === undefined || waitMs === undefined) {
      return false;
    }
    // Absent in the poll of a router of an older build, which does not read the zones.
    const zonesVersion = decodeNumber(parameters.get(ZONES_VERSION_PARAMETER));
    this.context.loop.spawn(
      'configuration poll',
      this.holdPoll({ newerThan, zonesVersion }, Math.min(waitMs, MAX_WAIT_MS), response),
    );
    return true;
  }

  private *holdPoll(
    { newerThan, zonesVersion }: { newerThan: number; zonesVersion: number | undefined },
    waitMs: number,
    response: ServerResponse,
  ): Task<void> {
    const { board, loop } = this.context;
    const deadlineMs = loop.nowMs() + waitMs;
    const document = yield* waitForNewerDocument(this.context, newerThan, deadlineMs, zonesVersion);
    // Taken before the compression: the document that is sent must be the newest of this version of the store.
    const { seenVersion } = board.configurationDocument;
    const body = document === undefined ? undefined : yield* loop.settled(this.compress(document));
    const headers: Record<string, string | number> = encodeEvacuations(board.evacuations.reading);
    const silentMs = documentSilentMs(this.context);
    if (seenVersion !== undefined && silentMs !== undefined) {
      headers[SEEN_VERSION_HEADER] = seenVersion;
      headers[SILENT_HEADER] = silentMs;
    }
    if (document === undefined) {
      response.writeHead(204, headers);
      response.end();
    } else if (body === undefined) {
      response.writeHead(500, { 'Content-Length': 0 });
      response.end();
    } else {
      headers[DOCUMENT_VERSION_HEADER] = document.version;
      response.writeHead(200, { ...headers, 'Content-Encoding': 'gzip', 'Content-Length': body.length });
      response.end(body);
    }
  }

  /** Does not reject; resolves to undefined if the compression failed. */
  private compress({ version, text }: ConfigurationDocument): Promise<Buffer | undefined> {
    if (this.compressed?.version !== version) {
      const body = this.gzipText(text).catch((cause: unknown) => {
        this.context.log(LogLevel.Warn, 'failed to compress configuration', {
          version,
          cause: String(cause),
        });
        return undefined;
      });
      this.compressed = { version, body };
    }
    return this.compressed.body;
  }
}

/** Decodes a non-negative integer. */
function decodeNumber(value: string | string[] | null | undefined): number | undefined {
  const number = typeof value === 'string' && /^\d{1,16}$/.test(value) ? Number(value) : undefined;
  return Number.isSafeInteger(number) ? number : undefined;
}
