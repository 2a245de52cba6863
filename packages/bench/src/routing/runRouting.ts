import type { EngineCandidate, RandomSource } from '@pimentostall/core';
import { prefixHashes, seededRandom } from '@pimentostall/core';
import { EventQueue } from '@pimentostall/faults';
import { mean, quantile } from '../common/statistics.ts';
import type { StreamListener } from './engineHost.ts';
import { EngineHost, HostAnswer } from './engineHost.ts';
import { OBSERVE_INTERVAL_MS, PROBE_INTERVAL_MS, WARM_UP_FRACTION } from './options.ts';
import { RouterView } from './routerView.ts';
import type { RunFigures, RunPlan } from './types.ts';
import { EngineUpset } from './types.ts';
import type { Arrival } from './workload.ts';
import { createArrivals, MODEL } from './workload.ts';

/** Keeps the choices and the arrivals apart, so that all choosers meet the same arrivals. */
const CHOICE_SEED_OFFSET = 7_919;

/** One run: routers, simulated engines and a queue of events under a virtual clock. */
class RoutingRun {
  readonly #queue = new EventQueue();
  readonly #plan: RunPlan;
  readonly #random: RandomSource;
  readonly #engines: EngineHost[];
  readonly #byAddress: Map<string, EngineHost>;
  readonly #routers: RouterView[];
  readonly #arrivals: Arrival[];
  readonly #endMs: number;
  readonly #measureFromMs: number;
  readonly #wakeAtMs = new Map<EngineHost, number>();
  readonly #ttfts: number[] = [];
  readonly #intervals: number[] = [];
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
    this.#byAddress = new Map(this.#engines.map((engine) => [engine.address, engine]));
    this.#routers = Array.from(
      { length: scenario.routerCount },
      (_, index) => new RouterView(this.#engines, chooser, index, this.#random),
    );
    this.#endMs = this.#arrivals.at(-1)?.atMs ?? 0;
    this.#measureFromMs = this.#endMs * WARM_UP_FRACTION;
  }

  execute(): RunFigures {
    this.#scheduleAll();
    for (let entry = this.#queue.takeNext(); entry !== undefined; entry = this.#queue.takeNext()) {
      this.#nowMs = entry.atMs;
      entry.action();
    }
    return {
      ttftP50Ms: quantile(this.#ttfts, 0.5),
      ttftP95Ms: quantile(this.#ttfts, 0.95),
      ttftP99Ms: quantile(this.#ttfts, 0.99),
      tokenIntervalP95Ms: quantile(this.#intervals, 0.95),
      hitRate: this.#cachedTokens / Math.max(1, this.#promptTokens),
      imbalance: mean(this.#imbalances),
      refusedCount: this.#refusedCount,
      lostCount: this.#lostCount,
    };
  }

  #scheduleAll(): void {
    for (const arrival of this.#arrivals) {
      this.#queue.add(arrival.atMs, () => {
        this.#dispatch(arrival, new Set());
      });
    }
    this.#repeat(0, OBSERVE_INTERVAL_MS, () => {
      this.#observe();
    });
    for (const router of this.#routers) {
      this.#repeat(this.#random() * PROBE_INTERVAL_MS, PROBE_INTERVAL_MS, () => {
        router.probe(this.#nowMs);
      });
    }
    this.#scheduleUpset();
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

  #scheduleUpset(): void {
    const [engine] = this.#engines;
    switch (this.#plan.scenario.upset) {
      case EngineUpset.None:
        return;
      case EngineUpset.Slow:
        engine?.slowDown();
        return;
      case EngineUpset.Leaving:
        this.#queue.add(this.#measureFromMs, () => engine?.leave());
        return;
      case EngineUpset.Dead:
        this.#queue.add(this.#measureFromMs, () => {
          for (const { listener, tokenCount } of engine?.die() ?? []) {
            this.#restart(listener, tokenCount);
          }
        });
        return;
    }
  }

  /** A request whose stream broke starts elsewhere, if no token has reached its caller. */
  #restart(listener: StreamListener, tokenCount: number): void {
    if (tokenCount > 0) {
      this.#lostCount += 1;
      return;
    }
    const [engine] = this.#engines;
    const { arrival } = listener;
    const view = this.#routers[arrival.routerIndex];
    const info = view?.candidates.find((candidate) => candidate.engine.address === engine?.address)?.info;
    if (info !== undefined) {
      info.ownInFlightCount -= 1;
    }
    this.#dispatch(arrival, new Set([engine?.address ?? '']));
  }

  #dispatch(arrival: Arrival, excluded: Set<string>): void {
    const hashes = prefixHashes(MODEL, arrival.messages);
    const router = this.#routers[arrival.routerIndex];
    for (;;) {
      const candidate = router?.choose(hashes, excluded, this.#nowMs, this.#random);
      const engine = candidate === undefined ? undefined : this.#byAddress.get(candidate.engine.address);
      if (candidate === undefined || engine === undefined) {
        this.#refusedCount += 1;
        return;
      }
      const answer = engine.submit(this.#listen(arrival, candidate), this.#nowMs);
      if (answer === HostAnswer.Accepted) {
        candidate.info.ownInFlightCount += 1;
        candidate.info.prefixes.add(hashes);
        this.#wake(engine);
        return;
      }
      candidate.info.leaving ||= answer === HostAnswer.Gone;
      excluded.add(engine.address);
    }
  }

  #listen(arrival: Arrival, { info }: EngineCandidate): StreamListener {
    const counts = arrival.atMs >= this.#measureFromMs;
    let lastAtMs: number | undefined;
    return {
      arrival,
      onToken: (atMs) => {
        if (counts) {
          const times = lastAtMs === undefined ? this.#ttfts : this.#intervals;
          times.push(atMs - (lastAtMs ?? arrival.atMs));
        }
        lastAtMs = atMs;
      },
      onFinished: (cachedPromptTokens, promptTokens) => {
        info.ownInFlightCount -= 1;
        this.#cachedTokens += counts ? cachedPromptTokens : 0;
        this.#promptTokens += counts ? promptTokens : 0;
      },
    };
  }

  /** Queues the engine's next token. An entry that an earlier one replaced only advances to its time. */
  #wake(engine: EngineHost): void {
    const atMs = engine.nextEventMs();
    if (atMs === Infinity || atMs >= (this.#wakeAtMs.get(engine) ?? Infinity)) {
      return;
    }
    this.#wakeAtMs.set(engine, atMs);
    this.#queue.add(atMs, () => {
      if (this.#wakeAtMs.get(engine) === atMs) {
        this.#wakeAtMs.delete(engine);
        engine.advance(atMs);
        this.#wake(engine);
      }
    });
  }

  #observe(): void {
    for (const engine of this.#engines) {
      engine.observe(this.#nowMs);
    }
    if (this.#nowMs >= this.#measureFromMs) {
      const counts = this.#engines.filter(({ usable }) => usable).map(({ openCount }) => openCount);
      this.#imbalances.push(Math.max(...counts) / Math.max(1, mean(counts)));
    }
  }
}

export function runRouting(plan: RunPlan): RunFigures {
  return new RoutingRun(plan).execute();
}
