import { seededRandom } from '@pimentostall/core';
import { FAR_REGION, NEAR_REGION, outputTokensOf } from '@pimentostall/faults';
import {
  ENGINE_OPTIONS,
  MAX_OUTPUT_TOKENS,
  OUTPUT_MICROS_PER_TOKEN,
  PROMPT_MICROS_PER_TOKEN,
} from './fleetSetup.ts';
import { createScenario } from './scenarios.ts';
import type { Organisation, PlannedRequest, Workload } from './types.ts';
import { ScenarioName } from './types.ts';

/** Traffic share, origin and budget coverage of an organisation. */
interface Profile {
  readonly weight: number;
  readonly farFraction: number;
  /** Budget relative to the total cost of the organisation's requests. */
  readonly budgetFactor: number;
  readonly topUpFactor: number;
}

/** Three large organisations and seven small ones. Half of the budgets run out, some of them close to the end. */
const PROFILES: readonly Profile[] = [
  { weight: 30, farFraction: 0.4, budgetFactor: 3, topUpFactor: 0 },
  { weight: 20, farFraction: 0.5, budgetFactor: 0.7, topUpFactor: 0.4 },
  { weight: 15, farFraction: 0.3, budgetFactor: 1.2, topUpFactor: 0 },
  { weight: 6, farFraction: 0.1, budgetFactor: 0.5, topUpFactor: 0.3 },
  { weight: 6, farFraction: 0.9, budgetFactor: 0.8, topUpFactor: 0 },
  { weight: 5, farFraction: 0.7, budgetFactor: 0.95, topUpFactor: 0 },
  { weight: 5, farFraction: 0.2, budgetFactor: 1.1, topUpFactor: 0 },
  { weight: 5, farFraction: 0.5, budgetFactor: 2, topUpFactor: 0 },
  { weight: 4, farFraction: 0, budgetFactor: 1.5, topUpFactor: 0 },
  { weight: 4, farFraction: 0.8, budgetFactor: 4, topUpFactor: 0 },
];

/** One organisation sends nearly all traffic and its budget covers about two thirds of it; the others have enough. */
const LAST_TOKEN_PROFILES: readonly Profile[] = PROFILES.map((profile, index) => ({
  ...profile,
  weight: index === 0 ? 100 : 1,
  budgetFactor: index === 0 ? 0.65 : 4,
}));

const LARGE_WEIGHT = 15;
const LARGE_ENTRY_WEIGHT = 1.5;
const MIN_PROMPT_LENGTH = 40;
const PROMPT_LENGTH_SPREAD = 160;
const LIKELY_BYTES_PER_TOKEN = 4;
/** Tokens of the role and the chat template that the core adds to the worst case of a message. */
const MESSAGE_OVERHEAD_TOKENS = 'user'.length + 8;

/** Creates the requests and budgets of a scenario, which depend only on the name, seed and request count. */
export function createWorkload(name: ScenarioName, seed: number, requestCount: number): Workload {
  const scenario = createScenario(name);
  const random = seededRandom(seed * 7_919 + Object.values(ScenarioName).indexOf(name));
  const profiles = name === ScenarioName.LastToken ? LAST_TOKEN_PROFILES : PROFILES;
  const durationMs = scenario.lastRequestMs - scenario.firstRequestMs;
  const arrivalTimesMs = Array.from(
    { length: requestCount },
    () => scenario.firstRequestMs + random() * durationMs,
  );
  arrivalTimesMs.sort((a, b) => a - b);
  const requests = arrivalTimesMs.map((atMs, index) =>
    createRequest(profiles, random, Math.floor(atMs), index),
  );
  const organisations = profiles.map((profile, index) => createOrganisation(profile, index, requests));
  return { seed, scenario, organisations, requests };
}

function createRequest(
  profiles: readonly Profile[],
  random: () => number,
  atMs: number,
  index: number,
): PlannedRequest {
  const organisationIndex = pickWeighted(profiles, random());
  const organisationId = organisationIdOf(organisationIndex);
  const far = random() < (profiles[organisationIndex]?.farFraction ?? 0);
  const key = `request-${index}`;
  const promptLength = MIN_PROMPT_LENGTH + Math.floor(random() * PROMPT_LENGTH_SPREAD);
  const outputTokens = outputTokensOf(`${organisationId}:${key}`, MAX_OUTPUT_TOKENS, ENGINE_OPTIONS);
  const promptTokens = Math.floor(promptLength / LIKELY_BYTES_PER_TOKEN);
  return {
    key,
    organisationId,
    region: far ? FAR_REGION : NEAR_REGION,
    atMs,
    prompt: key.padEnd(promptLength, '.'),
    worstCaseMicros:
      (promptLength + MESSAGE_OVERHEAD_TOKENS) * PROMPT_MICROS_PER_TOKEN +
      MAX_OUTPUT_TOKENS * OUTPUT_MICROS_PER_TOKEN,
    actualMicros: promptTokens * PROMPT_MICROS_PER_TOKEN + outputTokens * OUTPUT_MICROS_PER_TOKEN,
    durationMs: ENGINE_OPTIONS.prefillMs + outputTokens * ENGINE_OPTIONS.tokenIntervalMs,
  };
}

function pickWeighted(profiles: readonly Profile[], sample: number): number {
  const totalWeight = profiles.reduce((total, { weight }) => total + weight, 0);
  let remainingWeight = sample * totalWeight;
  for (const [index, { weight }] of profiles.entries()) {
    remainingWeight -= weight;
    if (remainingWeight < 0) {
      return index;
    }
  }
  return profiles.length - 1;
}

function createOrganisation(
  profile: Profile,
  index: number,
  requests: readonly PlannedRequest[],
): Organisation {
  const organisationId = organisationIdOf(index);
  const demandMicros = requests
    .filter((request) => request.organisationId === organisationId)
    .reduce((sum, { actualMicros }) => sum + actualMicros, 0);
  return {
    organisationId,
    keySha256: index.toString(16).padStart(64, '0'),
    entryWeight: profile.weight >= LARGE_WEIGHT ? LARGE_ENTRY_WEIGHT : 1,
    fundedMicros: Math.max(1, Math.floor(demandMicros * profile.budgetFactor)),
    topUpMicros: Math.floor(demandMicros * profile.topUpFactor),
  };
}

function organisationIdOf(index: number): string {
  return `org-${index}`;
}
