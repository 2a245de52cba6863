import type { CoreContext } from '../context.ts';
import { EffectKind, MetricKind } from '../types/effects.ts';
import type { RunningRequest } from './types.ts';

/** Emits a metric labelled with the request's organisation and class. */
export function emitMetric(
  context: CoreContext,
  run: Pick<RunningRequest, 'organisationId' | 'classId'>,
  metric: MetricKind,
  value: number,
  label = '',
): void {
  const { organisationId, classId } = run;
  context.emit({ kind: EffectKind.Metric, metric, organisationId, classId, value, label });
}

/** Emits the metrics of a completely answered request. */
export function emitAnswered(context: CoreContext, run: RunningRequest): void {
  emitMetric(context, run, MetricKind.Answered, 1);
  emitMetric(context, run, MetricKind.TotalTime, context.clock.monotonicMs - run.startedAtMs);
}
