import type { ServerResponse } from 'node:http';
import { Agent } from 'undici';
import type { GatewayContext } from '../context.ts';
import { decodeLoadMessage, decodeLoads } from '../engineLoad/decodeLoads.ts';
import { receiveLoads } from '../engineLoad/exchangeLoads.ts';
import type { EngineLoads } from '../engineLoad/loadSums.ts';
import type { LoadMessage, LoadPort } from '../engineLoad/types.ts';
import { LogLevel } from '../observability/log.ts';
import type { RouterEntry } from '../types.ts';
import { fetchText } from './fetchResponse.ts';
import { ProgressTimeout } from './progressTimeout.ts';

const LOADS_PATH = '/loads';
/** Timeout of a message: a round trip between regions and two event loops that are late. */
const LOADS_TIMEOUT_MS = 250;
/** Time for which an idle connection is kept; collectors close theirs after five seconds. */
const KEEP_ALIVE_MS = 4_000;

/** HTTP client that sends loads of engines to other routers. */
export class PeerLoads implements LoadPort {
  private readonly agent = new Agent({
    connections: 1,
    connect: { timeout: LOADS_TIMEOUT_MS },
    keepAliveTimeout: KEEP_ALIVE_MS,
  });

  constructor(private readonly log: GatewayContext['log']) {}

  async post(peer: RouterEntry, message: LoadMessage): Promise<EngineLoads | undefined> {
    const timeout = new ProgressTimeout({
      firstByteMs: LOADS_TIMEOUT_MS,
      stallMs: LOADS_TIMEOUT_MS,
      limitMs: LOADS_TIMEOUT_MS,
    });
    try {
      const { status, text } = await fetchText(
        this.agent,
        {
          origin: `http://${peer.peerAddress}`,
          method: 'POST',
          path: LOADS_PATH,
          body: JSON.stringify(message),
        },
        timeout,
      );
      const loads = status === 200 ? decodeLoads(JSON.parse(text)) : undefined;
      if (loads === undefined) {
        throw new Error(`invalid reply with status ${status}`);
      }
      return loads;
    } catch (cause) {
      this.log(LogLevel.Debug, 'failed to exchange engine loads with peer', {
        peer: peer.routerId,
        scope: message.scope,
        cause: String(cause),
      });
      return undefined;
    } finally {
      timeout.clear();
    }
  }
}

/** Answers a message of a peer. Returns false if the call is none, is invalid, or loads are not shared here. */
export function answerLoadCall(
  context: GatewayContext,
  path: string,
  text: string,
  response: ServerResponse,
): boolean {
  const message = path === LOADS_PATH ? parseMessage(text) : undefined;
  const reply = message === undefined ? undefined : receiveLoads(context, message);
  if (reply === undefined) {
    return false;
  }
  const body = JSON.stringify(reply);
  response.writeHead(200, { 'Content-Type': 'application/json', 'Content-Length': Buffer.byteLength(body) });
  response.end(body);
  return true;
}

function parseMessage(text: string): LoadMessage | undefined {
  try {
    return decodeLoadMessage(JSON.parse(text));
  } catch {
    // The server logs calls that nothing accepts.
    return undefined;
  }
}
