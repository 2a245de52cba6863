import type { EngineCandidate, RandomSource } from '@pimentostall/core';
import { createUpstreamInfo } from '@pimentostall/core';
import type { Chooser } from './choosers.ts';
import { createChooser } from './choosers.ts';
import type { EngineHost } from './engineHost.ts';
import { MAX_CONCURRENT, MAX_PROBES_PER_INTERVAL } from './options.ts';
import type { ChooserKind } from './types.ts';
import { MODEL } from './workload.ts';

function createCandidate({ address }: EngineHost): EngineCandidate {
  const engine = {
    engineId: address,
    address,
    region: 'near',
    availabilityZone: 'near-a',
    models: [MODEL],
    maxConcurrent: MAX_CONCURRENT,
    honoursFencing: true,
  };
  return { engine, info: createUpstreamInfo(address) };
}

/** One router's view of the engines: its in-flight requests, the load reports it read and the known prefixes. */
export class RouterView {
  readonly candidates: readonly EngineCandidate[];
  readonly #engines: readonly EngineHost[];
  readonly #chooser: Chooser;
  #nextProbeIndex: number;

  constructor(engines: readonly EngineHost[], chooser: ChooserKind, index: number, random: RandomSource) {
    this.#engines = engines;
    this.candidates = engines.map(createCandidate);
    this.#chooser = createChooser(chooser, index);
    this.#nextProbeIndex = Math.floor(random() * engines.length);
  }

  choose(
    prefixHashes: readonly string[],
    excludedAddresses: ReadonlySet<string>,
    nowMs: number,
    random: RandomSource,
  ): EngineCandidate | undefined {
    const { candidates } = this;
    return this.#chooser({ candidates, excludedAddresses, prefixHashes, nowMs, random });
  }

  /** Reads the load reports of the next engines in turn, as `probeController` does. */
  probe(nowMs: number): void {
    const count = Math.min(MAX_PROBES_PER_INTERVAL, this.#engines.length);
    for (let offset = 0; offset < count; offset += 1) {
      const index = (this.#nextProbeIndex + offset) % this.#engines.length;
      const info = this.candidates[index]?.info;
      const load = this.#engines[index]?.report(nowMs);
      if (info !== undefined && load !== undefined) {
        info.load = load;
        info.loadReadAtMs = nowMs;
        info.leaving ||= load.leaving;
        info.prefixes.add(load.cachedPrefixHashes);
      }
    }
    this.#nextProbeIndex += count;
  }
}
