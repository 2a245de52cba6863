import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RunningServer } from '../common/httpServer.ts';
import { readJson, RequestError, sendJson, startHttpServer } from '../common/httpServer.ts';
import { EngineAudit } from './engineAudit.ts';
import { SimulatedEngine, SubmitOutcome } from './simulatedEngine.ts';
import { OrderLog } from './fencing.ts';
import { LoadReporter } from './loadReporter.ts';
import { isOpen, SequenceState } from './sequence.ts';
import type { EngineControl, EngineSettings } from './settings.ts';
import { engineControlSchema, engineOrderSchema, engineRequestSchema } from './settings.ts';
import { StreamReader } from './streamReader.ts';

const STREAMS_PATH = '/v1/streams';
/** How often the model is advanced and readers are served: below the shortest token interval in use. */
const PUMP_INTERVAL_MS = 5;
const LOAD_INTERVAL_MS = 100;

/** The HTTP server around a simulated engine: it supplies the time and moves chunks to the readers. */
class EngineServer {
  readonly #settings: EngineSettings;
  readonly #audit = new EngineAudit();
  readonly #orders: OrderLog;
  readonly #readers = new Set<StreamReader>();
  readonly #load: LoadReporter;
  #model: SimulatedEngine;
  #down = false;
  #leaving = false;
  #dieAtIndex: number | undefined;

  constructor(settings: EngineSettings) {
    this.#settings = settings;
    this.#model = new SimulatedEngine(settings);
    this.#orders = new OrderLog(settings.honoursFencing);
    this.#load = new LoadReporter(settings);
  }

  async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = new URL(request.url ?? '/', 'http://engine');
    const call = `${request.method ?? ''} ${url.pathname}`;
    if (call === 'POST /control') {
      this.#control(await readJson(request, engineControlSchema));
      sendJson(response, 200, {});
    } else if (call === 'GET /audit') {
      sendJson(response, 200, { requests: this.#audit.entries(), orders: this.#orders.accepted });
    } else if (this.#down) {
      request.socket.destroy();
    } else if (call === 'GET /load') {
      const report = this.#load.report(this.#model.cacheEvents, this.#leaving, Date.now());
      sendJson(response, 200, report);
    } else if (call === 'GET /orders') {
      sendJson(response, 200, { models: this.#orders.models });
    } else if (call === 'POST /orders') {
      const accepted = this.#orders.accept(await readJson(request, engineOrderSchema));
      sendJson(response, accepted ? 200 : 409, accepted ? {} : { error: 'the fencing number is old' });
    } else if (call === `POST ${STREAMS_PATH}`) {
      await this.#start(request, response);
    } else {
      this.#serveStream(request, response, url);
    }
  }

  /** Advances the model and serves the readers; called at short intervals. */
  pump(): void {
    this.#model.advance(Date.now());
    for (const reader of this.#readers) {
      const sequence = this.#model.sequence(reader.requestId);
      if (sequence !== undefined) {
        const finished = sequence.state === SequenceState.Finished;
        this.#audit.progressed(reader.requestId, sequence.chunks.length, finished);
      }
      if (reader.pump(sequence)) {
        this.#readers.delete(reader);
      }
      if (this.#dieAtIndex !== undefined && (sequence?.chunks.length ?? 0) > this.#dieAtIndex) {
        this.#dieAtIndex = undefined;
        this.#die();
        return;
      }
    }
  }

  observeLoad(): void {
    this.#load.observe(this.#model, Date.now());
  }

  async #start(httpRequest: IncomingMessage, response: ServerResponse): Promise<void> {
    const request = await readJson(httpRequest, engineRequestSchema);
    if (this.#leaving) {
      throw new RequestError(503, 'the engine is leaving');
    }
    const nowMs = Date.now();
    const outcome = this.#model.submit(request, nowMs);
    switch (outcome) {
      case SubmitOutcome.AlreadyKnown:
        throw new RequestError(409, 'the request identity is known: resume its stream');
      case SubmitOutcome.QueueFull:
        throw new RequestError(429, 'the queue is full');
      case SubmitOutcome.Accepted: {
        const promptTokens = this.#model.sequence(request.requestId)?.blocks.tokens ?? 0;
        this.#audit.started(request.requestId, promptTokens, nowMs);
        this.#read(request.requestId, 0, response);
      }
    }
  }

  #serveStream(request: IncomingMessage, response: ServerResponse, url: URL): void {
    if (!url.pathname.startsWith(`${STREAMS_PATH}/`)) {
      throw new RequestError(404, `the engine has no path ${url.pathname}`);
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
      this.#audit.progressed(requestId, sequence.chunks.length, !isOpen(sequence));
      sendJson(response, 200, usage);
      return;
    }
    this.#audit.resumed(requestId);
    this.#read(requestId, Number(url.searchParams.get('from') ?? 0), response);
  }

  #read(requestId: string, fromIndex: number, response: ServerResponse): void {
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
      this.#die();
    }
    this.#down = control.down ?? this.#down;
  }

  /** Loses all streams and the cache, as a replaced VM does. The audit stays. */
  #die(): void {
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
  const pumpTimer = setInterval(() => {
    engine.pump();
  }, PUMP_INTERVAL_MS);
  const loadTimer = setInterval(() => {
    engine.observeLoad();
  }, LOAD_INTERVAL_MS);
  return {
    close: async () => {
      clearInterval(pumpTimer);
      clearInterval(loadTimer);
      await server.close();
    },
  };
}
