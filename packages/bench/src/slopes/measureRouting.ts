import type { EngineSection } from '@pimentostall/core';
import { createUpstreamInfo, EffectKind, EventKind, seededRandom } from '@pimentostall/core';
import { chooseEngine } from '../../../core/src/routing/chooseEngine.ts';
import type { UpstreamInfo } from '../../../core/src/routing/types.ts';
import { configure, engineSections } from './configurationModel.ts';
import { DrivenRouter } from './drivenRouter.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { millisecondsPerCall, processorMicros, retainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [12, 100, TARGET.engines];
const CHOICES = 200;
const PROMPT_BLOCKS = 16;
/** What the memory of one engine's prefixes holds at most. */
const REMEMBERED_PREFIXES = 4_096;
const PROBE_SECONDS = 5;
const STEP_MS = 250;

function upstreamOf(engine: EngineSection, index: number): UpstreamInfo {
  return {
    ...createUpstreamInfo(engine.address),
    ownInFlightCount: index % 5,
    load: { runningCount: index % 7, queuedCount: 0, leaving: false, ageMs: 100, cachedPrefixHashes: [] },
  };
}

function fillPrefixes(infos: readonly UpstreamInfo[]): readonly UpstreamInfo[] {
  const random = seededRandom(infos.length);
  for (const info of infos) {
    const hashes = Array.from({ length: REMEMBERED_PREFIXES }, () =>
      Math.floor(random() * 2 ** 32)
        .toString(16)
        .padStart(8, '0'),
    );
    info.prefixes.add(hashes);
  }
  return infos;
}

interface ProbeCost {
  readonly probesPerSecond: number;
  readonly milliseconds: number;
}

function measureProbes(engines: readonly EngineSection[]): ProbeCost {
  const router = new DrivenRouter();
  router.advance(1_000);
  configure(router, { engines });
  let probes = 0;
  const micros = processorMicros(() => {
    for (let elapsedMs = 0; elapsedMs < PROBE_SECONDS * 1_000; elapsedMs += STEP_MS) {
      const sent = router.advance(STEP_MS).filter((effect) => effect.kind === EffectKind.UpstreamProbe);
      probes += sent.length;
      for (const { callId, address } of sent) {
        const load = { runningCount: 3, queuedCount: 0, leaving: false, ageMs: 50, cachedPrefixHashes: [] };
        router.step([{ kind: EventKind.UpstreamProbed, callId, address, load }]);
      }
    }
  });
  return { probesPerSecond: probes / PROBE_SECONDS, milliseconds: micros / 1_000 / PROBE_SECONDS };
}

type Name = 'choice' | 'memory' | 'probes' | 'probeTime' | 'passSeconds';

function measureEngines(engineCount: number): Readonly<Record<Name, number>> {
  const engines = engineSections(engineCount);
  const infos = engines.map(upstreamOf);
  const { bytes: memory } = retainedBytes(() => fillPrefixes(infos));
  const candidates = engines.map((engine, index) => ({
    engine,
    info: infos[index] ?? upstreamOf(engine, 0),
  }));
  const random = seededRandom(1);
  const prefixHashes = Array.from({ length: PROMPT_BLOCKS }, (_, index) =>
    index.toString(16).padStart(8, '0'),
  );
  const choice = millisecondsPerCall(CHOICES, () => {
    chooseEngine({
      candidates,
      region: 'nairobi',
      availabilityZone: 'nairobi-a',
      prefixHashes,
      excludedAddresses: new Set(),
      nowMs: 1_000,
      farEngineCostMs: 200,
      random: random(),
    });
  });
  const probes = measureProbes(engines);
  return {
    choice,
    memory,
    probes: probes.probesPerSecond,
    probeTime: probes.milliseconds,
    passSeconds: engineCount / probes.probesPerSecond,
  };
}

/** Choice of engine and probes, by engines. */
export function measureRouting(options: SlopeOptions): Series[] {
  const points = measureSizes(sizesOf(options, SIZES), options.repeats, measureEngines);
  const series = (id: string, quantity: string, unit: string, name: Name): Series => ({
    id: `routing.${id}`,
    quantity,
    unit,
    sizeUnit: 'engines',
    targetSize: TARGET.engines,
    points: points(name),
  });
  return [
    series('choice', 'one chooseEngine, prompt of 16 blocks', 'ms', 'choice'),
    series('prefixMemory', 'prefix memories that are full', 'B', 'memory'),
    series('probes', 'probes of one router', '1/s', 'probes'),
    series('probeTime', 'probes and replies, without HTTP', 'ms/s', 'probeTime'),
    series('probePass', 'time until every engine was probed', 's', 'passSeconds'),
  ];
}
