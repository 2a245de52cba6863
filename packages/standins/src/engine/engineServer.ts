import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RunningServer } from '../common/httpServer.ts';
import { readJson, RequestError, sendJson, startHttpServer } from '../common/httpServer.ts';
import { EngineAudit } from './engineAudit.ts';
import { SimulatedEngine, SubmitOutcome } from './simulatedEngine.ts';
import { OrderLog } from './orderLog.ts';
import { LoadReporter } from './loadReporter.ts';
import { isActive, SequenceState } from './sequence.ts';
import type { EngineControl, EngineSettings } from './settings.ts';
import { engineControlSchema, engineOrderSchema, engineRequestSchema } from './settings.ts';
import { StreamReader } from './streamReader.ts';

const STREAMS_PATH = '/v1/streams';
/** Interval at which the engine is advanced and chunks are sent; below the shortest token interval in use. */
const TICK_INTERVAL_MS = 5;
const LOAD_SNAPSHOT_INTERVAL_MS = 100;

/** HTTP server of a simulated engine: advances it with the clock and streams the generated chunks to readers. */
class EngineServer {
  readonly #settings: EngineSettings;
  readonly #audit = new EngineAudit();
  readonly #orders: OrderLog;
  readonly #readers = new Set<StreamReader>();
  readonly #loadReporter: LoadReporter;
  #model: SimulatedEngine;
  #down = false;
  #leaving = false;
  #dieAtIndex: number | undefined;

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#model = new SimulatedEngine(settings);
    this.#orders = new OrderLog(settings.honoursFencing);
    this.#loadReporter = new LoadReporter(settings);
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const endpoint = `${request.method ?? ''} ${url.pathname}`;
    if (endpoint === 'POST /control') {
      this.#control(await readJson(request, engineControlSchema));
      sendJson(response, 200, {});
    } else if (endpoint === 'GET /audit') {
      sendJson(response, 200, { requests: this.#audit.entries(), orders: this.#orders.accepted });
    } else if (this.#down) {
      request.socket.destroy();
    } else if (endpoint === 'GET /load') {
      const report = this.#loadReporter.report(this.#model.cacheEvents, this.#leaving, Date.now());
      sendJson(response, 200, report);
    } else if (endpoint === 'GET /orders') {
      sendJson(response, 200, { models: this.#orders.models });
    } else if (endpoint === 'POST /orders') {
      const accepted = this.#orders.accept(await readJson(request, engineOrderSchema));
      sendJson(
        response,
        accepted ? 200 : 409,
        accepted ? {} : { error: 'the fencing number is below the highest one accepted' },
      );
    } else if (endpoint === `POST ${STREAMS_PATH}`) {
      await this.#handleStart(request, response);
    } else {
      this.#handleStream(request, response, url);
    }
  }

  /** Advances the engine and sends the new chunks to all readers. */
  tick(): void {
    this.#model.advance(Date.now());
    for (const reader of this.#readers) {
      const sequence = this.#model.sequence(reader.requestId);
      if (sequence !== undefined) {
        const finished = sequence.state === SequenceState.Finished;
        this.#audit.recordProgress(reader.requestId, sequence.chunks.length, finished);
      }
      if (reader.writeNewChunks(sequence)) {
        this.#readers.delete(reader);
      }
      if (this.#dieAtIndex !== undefined && (sequence?.chunks.length ?? 0) > this.#dieAtIndex) {
        this.#dieAtIndex = undefined;
        this.#crash();
        return;
      }
    }
  }

  observeLoad(): void {
    this.#loadReporter.observe(this.#model, Date.now());
  }

  async #handleStart(httpRequest: IncomingMessage, response: ServerResponse): Promise<void> {
    const request = await readJson(httpRequest, engineRequestSchema);
    if (this.#leaving) {
      throw new RequestError(503, 'the engine is leaving');
    }
    const nowMs = Date.now();
    const outcome = this.#model.submit(request, nowMs);
    switch (outcome) {
      case SubmitOutcome.AlreadyKnown:
        throw new RequestError(409, 'the request ID is already in use: resume its stream');
      case SubmitOutcome.QueueFull:
        throw new RequestError(429, 'the queue is full');
      case SubmitOutcome.Accepted: {
        const promptTokens = this.#model.sequence(request.requestId)?.blocks.tokens ?? 0;
        this.#audit.recordStart(request.requestId, promptTokens, nowMs);
        this.#attachReader(request.requestId, 0, response);
      }
    }
  }

  #handleStream(request: IncomingMessage, response: ServerResponse, url: URL): void {
    if (!url.pathname.startsWith(`${STREAMS_PATH}/`)) {
      throw new RequestError(404, `the engine has no endpoint ${url.pathname}`);
    }
    const requestId = decodeURIComponent(url.pathname.slice(STREAMS_PATH.length + 1));
    const nowMs = Date.now();
    this.#model.advance(nowMs);
    const sequence = this.#model.sequence(requestId);
    if (sequence === undefined) {
      throw new RequestError(404, `stream "${requestId}" is unknown`);
    }
    if (request.method === 'DELETE') {
      const usage = this.#model.cancel(requestId, nowMs);
      this.#audit.recordProgress(requestId, sequence.chunks.length, !isActive(sequence));
      sendJson(response, 200, usage);
      return;
    }
    this.#audit.recordResume(requestId);
    this.#attachReader(requestId, Number(url.searchParams.get('from') ?? 0), response);
  }

  #attachReader(requestId: string, fromIndex: number, response: ServerResponse): void {
    const reader = new StreamReader(requestId, fromIndex, response);
    const model = this.#model;
    this.#readers.add(reader);
    model.addReader(requestId);
    response.on('close', () => {
      this.#readers.delete(reader);
      model.removeReader(requestId, Date.now());
    });
  }

  #control(control: EngineControl): void {
    this.#leaving = control.leaving ?? this.#leaving;
    this.#dieAtIndex = control.dieAtIndex ?? this.#dieAtIndex;
    if (control.tokenIntervalMs !== undefined) {
      this.#model.setTokenInterval(control.tokenIntervalMs);
    }
    if (control.down === true) {
      this.#crash();
    }
    this.#down = control.down ?? this.#down;
  }

  /** Drops all streams and the cache, as the loss of the VM would. The audit is kept. */
  #crash(): void {
    this.#down = true;
    this.#model = new SimulatedEngine(this.#settings);
    for (const reader of this.#readers) {
      reader.destroy();
    }
    this.#readers.clear();
  }
}

export async function startEngine(settings: EngineSettings): Promise<RunningServer> {
  const engine = new EngineServer(settings);
  const server = await startHttpServer(settings.address, (request, response) =>
    engine.handle(request, response),
  );
  const tickTimer = setInterval(() => {
    engine.tick();
  }, TICK_INTERVAL_MS);
  const loadTimer = setInterval(() => {
    engine.observeLoad();
  }, LOAD_SNAPSHOT_INTERVAL_MS);
  return {
    close: async () => {
      clearInterval(tickTimer);
      clearInterval(loadTimer);
      await server.close();
    },
  };
}
