import type { EngineCandidate, RandomSource } from '@pimentostall/core';
import { prefixHashes, seededRandom } from '@pimentostall/core';
import { EventQueue } from '@pimentostall/faults';
import { mean, quantile } from '../common/statistics.ts';
import type { StreamListener } from './engineHost.ts';
import { EngineHost, SubmitResponse } from './engineHost.ts';
import { OBSERVE_INTERVAL_MS, PROBE_INTERVAL_MS, WARM_UP_FRACTION } from './options.ts';
import { RouterView } from './routerView.ts';
import type { RunFigures, RunPlan } from './types.ts';
import { EngineFault } from './types.ts';
import type { Arrival } from './workload.ts';
import { createArrivals, MODEL } from './workload.ts';

/** Separates the random numbers of choices from those of arrivals, so that all choosers get the same arrivals. */
const CHOICE_SEED_OFFSET = 7_919;

/** Simulates the routers and engines of one run with an event queue and a virtual clock. */
class RoutingSimulation {
  readonly #queue = new EventQueue();
  readonly #plan: RunPlan;
  readonly #random: RandomSource;
  readonly #engines: EngineHost[];
  readonly #enginesByAddress: Map<string, EngineHost>;
  readonly #routers: RouterView[];
  readonly #arrivals: Arrival[];
  readonly #endMs: number;
  readonly #measurementStartMs: number;
  readonly #nextEventAtMs = new Map<EngineHost, number>();
  readonly #ttftsMs: number[] = [];
  readonly #tokenIntervalsMs: number[] = [];
  readonly #imbalances: number[] = [];
  #cachedTokens = 0;
  #promptTokens = 0;
  #refusedCount = 0;
  #lostCount = 0;
  #nowMs = 0;

  constructor(plan: RunPlan) {
    const { scenario, chooser, seed } = plan;
    this.#plan = plan;
    this.#arrivals = createArrivals(scenario, seededRandom(seed));
    this.#random = seededRandom(seed + CHOICE_SEED_OFFSET);
    this.#engines = Array.from(
      { length: scenario.engineCount },
      (_, index) => new EngineHost(index, scenario),
    );
    this.#enginesByAddress = new Map(this.#engines.map((engine) => [engine.address, engine]));
    this.#routers = Array.from(
      { length: scenario.routerCount },
      (_, index) => new RouterView(this.#engines, chooser, index, this.#random),
    );
    this.#endMs = this.#arrivals.at(-1)?.atMs ?? 0;
    this.#measurementStartMs = this.#endMs * WARM_UP_FRACTION;
  }

  run(): RunFigures {
    this.#scheduleEvents();
    for (let entry = this.#queue.takeNext(); entry !== undefined; entry = this.#queue.takeNext()) {
      this.#nowMs = entry.atMs;
      entry.action();
    }
    return {
      ttftP50Ms: quantile(this.#ttftsMs, 0.5),
      ttftP95Ms: quantile(this.#ttftsMs, 0.95),
      ttftP99Ms: quantile(this.#ttftsMs, 0.99),
      tokenIntervalP95Ms: quantile(this.#tokenIntervalsMs, 0.95),
      hitRate: this.#cachedTokens / Math.max(1, this.#promptTokens),
      imbalance: mean(this.#imbalances),
      refusedCount: this.#refusedCount,
      lostCount: this.#lostCount,
    };
  }

  #scheduleEvents(): void {
    for (const arrival of this.#arrivals) {
      this.#queue.add(arrival.atMs, () => {
        this.#dispatch(arrival, new Set());
      });
    }
    this.#repeat(0, OBSERVE_INTERVAL_MS, () => {
      this.#sample();
    });
    for (const router of this.#routers) {
      this.#repeat(this.#random() * PROBE_INTERVAL_MS, PROBE_INTERVAL_MS, () => {
        router.probe(this.#nowMs);
      });
    }
    this.#scheduleFault();
  }

  #repeat(firstAtMs: number, intervalMs: number, action: () => void): void {
    if (firstAtMs > this.#endMs) {
      return;
    }
    this.#queue.add(firstAtMs, () => {
      action();
      this.#repeat(firstAtMs + intervalMs, intervalMs, action);
    });
  }

  #scheduleFault(): void {
    const [engine] = this.#engines;
    switch (this.#plan.scenario.fault) {
      case EngineFault.None:
        return;
      case EngineFault.Slow:
        engine?.slowDown();
        return;
      case EngineFault.Leaving:
        this.#queue.add(this.#measurementStartMs, () => engine?.leave());
        return;
      case EngineFault.Dead:
        this.#queue.add(this.#measurementStartMs, () => {
          for (const { listener, tokenCount } of engine?.crash() ?? []) {
            this.#restartOnOtherEngine(listener, tokenCount);
          }
        });
        return;
    }
  }

  /** Restarts a request on another engine after its stream broke, unless its caller has received a token. */
  #restartOnOtherEngine(listener: StreamListener, tokenCount: number): void {
    if (tokenCount > 0) {
      this.#lostCount += 1;
      return;
    }
    const [engine] = this.#engines;
    const { arrival } = listener;
    const router = this.#routers[arrival.routerIndex];
    const info = router?.candidates.find((candidate) => candidate.engine.address === engine?.address)?.info;
    if (info !== undefined) {
      info.ownInFlightCount -= 1;
    }
    this.#dispatch(arrival, new Set([engine?.address ?? '']));
  }

  #dispatch(arrival: Arrival, excludedAddresses: Set<string>): void {
    const promptHashes = prefixHashes(MODEL, arrival.messages);
    const router = this.#routers[arrival.routerIndex];
    for (;;) {
      const candidate = router?.choose(promptHashes, excludedAddresses, this.#nowMs, this.#random);
      const engine =
        candidate === undefined ? undefined : this.#enginesByAddress.get(candidate.engine.address);
      if (candidate === undefined || engine === undefined) {
        this.#refusedCount += 1;
        return;
      }
      const response = engine.submit(this.#createListener(arrival, candidate), this.#nowMs);
      if (response === SubmitResponse.Accepted) {
        candidate.info.ownInFlightCount += 1;
        candidate.info.prefixes.add(promptHashes);
        this.#scheduleNextEvent(engine);
        return;
      }
      candidate.info.leaving ||= response === SubmitResponse.Gone;
      excludedAddresses.add(engine.address);
    }
  }

  #createListener(arrival: Arrival, { info }: EngineCandidate): StreamListener {
    const isMeasured = arrival.atMs >= this.#measurementStartMs;
    let lastTokenAtMs: number | undefined;
    return {
      arrival,
      onToken: (atMs) => {
        if (isMeasured) {
          const latenciesMs = lastTokenAtMs === undefined ? this.#ttftsMs : this.#tokenIntervalsMs;
          latenciesMs.push(atMs - (lastTokenAtMs ?? arrival.atMs));
        }
        lastTokenAtMs = atMs;
      },
      onFinished: (cachedPromptTokens, promptTokens) => {
        info.ownInFlightCount -= 1;
        this.#cachedTokens += isMeasured ? cachedPromptTokens : 0;
        this.#promptTokens += isMeasured ? promptTokens : 0;
      },
    };
  }

  /** Schedules the engine's next event. An action superseded by an earlier event does nothing when it runs. */
  #scheduleNextEvent(engine: EngineHost): void {
    const atMs = engine.nextEventMs();
    if (atMs === Infinity || atMs >= (this.#nextEventAtMs.get(engine) ?? Infinity)) {
      return;
    }
    this.#nextEventAtMs.set(engine, atMs);
    this.#queue.add(atMs, () => {
      if (this.#nextEventAtMs.get(engine) === atMs) {
        this.#nextEventAtMs.delete(engine);
        engine.advance(atMs);
        this.#scheduleNextEvent(engine);
      }
    });
  }

  #sample(): void {
    for (const engine of this.#engines) {
      engine.observe(this.#nowMs);
    }
    if (this.#nowMs >= this.#measurementStartMs) {
      const openStreamCounts = this.#engines
        .filter(({ acceptsRequests }) => acceptsRequests)
        .map(({ openStreamCount }) => openStreamCount);
      this.#imbalances.push(Math.max(...openStreamCounts) / Math.max(1, mean(openStreamCounts)));
    }
  }
}

export function runRouting(plan: RunPlan): RunFigures {
  return new RoutingSimulation(plan).run();
}
