import type { EngineSection } from '@pimentostall/core';
import { createUpstreamInfo, EffectKind, EventKind, seededRandom } from '@pimentostall/core';
import { chooseEngine } from '../../../core/src/routing/chooseEngine.ts';
import type { UpstreamInfo } from '../../../core/src/routing/types.ts';
import { applyDocument, createEngineSections } from './configurationModel.ts';
import { RouterHarness } from './routerHarness.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { cpuMillisecondsPerCall, measureCpuMicros, measureRetainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [12, 100, TARGET.engines];
const CHOICE_COUNT = 200;
const PROMPT_BLOCKS = 16;
/** Maximum number of prefixes that are remembered for one engine. */
const PREFIXES_PER_ENGINE = 4_096;
const PROBE_SECONDS = 5;
const STEP_MS = 250;

function createUpstream(engine: EngineSection, index: number): UpstreamInfo {
  return {
    ...createUpstreamInfo(engine.address),
    ownInFlightCount: index % 5,
    load: { runningCount: index % 7, queuedCount: 0, leaving: false, ageMs: 100, cachedPrefixHashes: [] },
  };
}

function fillPrefixes(infos: readonly UpstreamInfo[]): readonly UpstreamInfo[] {
  const random = seededRandom(infos.length);
  for (const info of infos) {
    const hashes = Array.from({ length: PREFIXES_PER_ENGINE }, () =>
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
  const router = new RouterHarness();
  router.advance(1_000);
  applyDocument(router, { engines });
  let probes = 0;
  const micros = measureCpuMicros(() => {
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
  const engines = createEngineSections(engineCount);
  const infos = engines.map(createUpstream);
  const { bytes: memory } = measureRetainedBytes(() => fillPrefixes(infos));
  const candidates = engines.map((engine, index) => ({
    engine,
    info: infos[index] ?? createUpstream(engine, 0),
  }));
  const random = seededRandom(1);
  const prefixHashes = Array.from({ length: PROMPT_BLOCKS }, (_, index) =>
    index.toString(16).padStart(8, '0'),
  );
  const choice = cpuMillisecondsPerCall(CHOICE_COUNT, () => {
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

/** Cost of choosing and probing engines, by the number of engines. */
export function measureRouting(options: SlopeOptions): Series[] {
  const points = measureSizes(selectSizes(options, SIZES), options.repeats, measureEngines);
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
