import type { CoreContext } from '../context.ts';

/** Probe intervals that a survey lasts at most: a lost first probe is repeated once. */
const SURVEY_INTERVALS = 2;

/** Has the engines of a first configuration probed at once, and keeps work from those that have not answered. */
export function startSurvey(context: CoreContext): void {
  const { routing } = context.board;
  routing.surveyUntilMs = context.clock.monotonicMs + SURVEY_INTERVALS * context.options.probeIntervalMs;
  routing.surveyRequests.push(undefined);
}
