import type { IncomingMessage, ServerResponse } from 'node:http';
import { delay } from '../common/delay.ts';
import type { RunningServer } from '../common/httpServer.ts';
import { readBody, readJson, sendJson, startHttpServer } from '../common/httpServer.ts';
import { ExecutionLog } from './executionLog.ts';
import type { ServiceControl, ServiceSettings } from './settings.ts';
import { serviceControlSchema } from './settings.ts';

/** Key under which executions without an idempotency key are counted together. */
const MISSING_KEY_LABEL = '(none)';

/** Stand-in for a plain service: counts the executions of each idempotency key. */
class ServiceServer {
  readonly #log: ExecutionLog;
  #down = false;
  #leaving = false;
  #delayMs: number;
  #loseReplies = 0;

  constructor(settings: ServiceSettings) {
    this.#log = new ExecutionLog(settings.honoursKey);
    this.#delayMs = settings.delayMs;
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const endpoint = `${request.method ?? ''} ${request.url ?? ''}`;
    if (endpoint === 'POST /control') {
      this.#control(await readJson(request, serviceControlSchema));
      sendJson(response, 200, {});
    } else if (endpoint === 'GET /audit') {
      sendJson(response, 200, { executions: this.#log.counts() });
    } else if (this.#down) {
      request.socket.destroy();
    } else if (this.#leaving) {
      sendJson(response, 503, { error: 'the service is leaving and did not run the request' });
    } else {
      await this.#execute(request, response);
    }
  }

  async #execute(request: IncomingMessage, response: ServerResponse): Promise<void> {
    await readBody(request);
    const header = request.headers['idempotency-key'];
    const key = typeof header === 'string' ? header : MISSING_KEY_LABEL;
    const answer = this.#log.execute(key, request.method ?? '', request.url ?? '');
    await delay(this.#delayMs);
    if (this.#loseReplies > 0) {
      this.#loseReplies -= 1;
      request.socket.destroy();
      return;
    }
    response.writeHead(200, { 'content-type': 'application/json' });
    response.end(answer);
  }

  #control(control: ServiceControl): void {
    this.#down = control.down ?? this.#down;
    this.#leaving = control.leaving ?? this.#leaving;
    this.#delayMs = control.delayMs ?? this.#delayMs;
    this.#loseReplies = control.loseReplies ?? this.#loseReplies;
  }
}

export async function startService(settings: ServiceSettings): Promise<RunningServer> {
  const service = new ServiceServer(settings);
  return startHttpServer(settings.address, (request, response) => service.handle(request, response));
}
