import { MetricKind, seededRandom } from '@pimentostall/core';
import { MetricsRegistry } from '@pimentostall/metrics';
import { organisationId } from './fleetModel.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { cpuMillisecondsPerCall, measureRetainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [10, 100, 1_000, TARGET.organisations];
const RECORDING_COUNT = 20_000;
const MAX_VALUE_MS = 60_000;

function fillRegistry(organisations: number): MetricsRegistry {
  const registry = new MetricsRegistry();
  const random = seededRandom(organisations);
  for (let index = 0; index < organisations; index += 1) {
    for (const metric of Object.values(MetricKind)) {
      const value = MAX_VALUE_MS ** random();
      registry.record({ metric, organisationId: organisationId(index), classId: 'chat', value, label: '' });
    }
  }
  return registry;
}

function measureRegistry(
  organisations: number,
): Readonly<Record<'memory' | 'record' | 'text' | 'bytes', number>> {
  const { bytes: memory, held: registry } = measureRetainedBytes(() => fillRegistry(organisations));
  const record = cpuMillisecondsPerCall(RECORDING_COUNT, (call) => {
    registry.record({
      metric: MetricKind.TimeBetweenTokens,
      organisationId: organisationId(call % organisations),
      classId: 'chat',
      value: 30,
      label: '',
    });
  });
  let bytes = 0;
  const text = cpuMillisecondsPerCall(1, () => {
    bytes = Buffer.byteLength(registry.prometheusText());
  });
  return { memory, record: record * 1_000, text, bytes };
}

/** Cost of histograms and counters by the number of organisations with one class each. */
export function measureHistograms(options: SlopeOptions): Series[] {
  const points = measureSizes(selectSizes(options, SIZES), options.repeats, measureRegistry);
  const base = { sizeUnit: 'organisations', targetSize: TARGET.organisations };
  return [
    {
      ...base,
      id: 'histograms.memory',
      quantity: 'histograms and counters',
      unit: 'B',
      points: points('memory'),
    },
    { ...base, id: 'histograms.record', quantity: 'one recording', unit: 'us', points: points('record') },
    {
      ...base,
      id: 'histograms.text',
      quantity: 'one Prometheus read, time',
      unit: 'ms',
      points: points('text'),
    },
    {
      ...base,
      id: 'histograms.textBytes',
      quantity: 'one Prometheus read, size',
      unit: 'B',
      points: points('bytes'),
    },
  ];
}
