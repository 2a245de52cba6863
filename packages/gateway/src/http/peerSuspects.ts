import type { ServerResponse } from 'node:http';
import { Agent } from 'undici';
import type { GatewayContext } from '../context.ts';
import { LogLevel } from '../observability/log.ts';
import { receiveSuspects, MAX_REPORTS } from '../quarantine/exchangeSuspects.ts';
import { decodeReports } from '../quarantine/decodeReports.ts';
import type { SuspectMessage, SuspectPort, SuspectReport } from '../quarantine/types.ts';
import type { RouterEntry } from '../types.ts';
import { fetchText } from './fetchResponse.ts';
import { ProgressTimeout } from './progressTimeout.ts';

const SUSPECTS_PATH = '/suspects';
/** Timeout of an exchange: many round trips between regions, and short beside the period of exchanges. */
const EXCHANGE_TIMEOUT_MS = 400;

/** HTTP client that exchanges records of suspects with other routers. */
export class PeerSuspects implements SuspectPort {
  private readonly agent = new Agent({ connections: 1, connect: { timeout: EXCHANGE_TIMEOUT_MS } });

  constructor(private readonly log: GatewayContext['log']) {}

  async exchange(peer: RouterEntry, message: SuspectMessage): Promise<readonly SuspectReport[] | undefined> {
    const timeout = new ProgressTimeout({
      firstByteMs: EXCHANGE_TIMEOUT_MS,
      stallMs: EXCHANGE_TIMEOUT_MS,
      limitMs: EXCHANGE_TIMEOUT_MS,
    });
    try {
      const { status, text } = await fetchText(
        this.agent,
        {
          origin: `http://${peer.peerAddress}`,
          method: 'POST',
          path: SUSPECTS_PATH,
          body: JSON.stringify(message),
        },
        timeout,
      );
      const reports = status === 200 ? decodeReports(JSON.parse(text), MAX_REPORTS) : undefined;
      if (reports === undefined) {
        throw new Error(`invalid reply with status ${status}`);
      }
      return reports;
    } catch (cause) {
      this.log(LogLevel.Debug, 'failed to exchange suspects with peer', {
        peer: peer.routerId,
        cause: String(cause),
      });
      return undefined;
    } finally {
      timeout.clear();
    }
  }
}

/** Answers an exchange that a peer started. Returns false if the call is none, or is invalid. */
export function answerSuspectCall(
  context: GatewayContext,
  path: string,
  text: string,
  response: ServerResponse,
): boolean {
  const message = path === SUSPECTS_PATH ? decodeMessage(text) : undefined;
  if (message === undefined) {
    return false;
  }
  const body = JSON.stringify(receiveSuspects(context, message, 'peer'));
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
  response.end(body);
  return true;
}

function decodeMessage(text: string): SuspectMessage | undefined {
  try {
    const fields = JSON.parse(text) as Partial<Record<keyof SuspectMessage, unknown>> | null;
    const reports = decodeReports(fields?.reports, MAX_REPORTS);
    return reports === undefined ? undefined : { reports, wantsReply: fields?.wantsReply === true };
  } catch {
    // The server logs calls that nothing accepts.
    return undefined;
  }
}
