import type { ChatMessage, RandomSource } from '@pimentostall/core';
import { DEFAULT_CORE_OPTIONS, rendezvousOrder } from '@pimentostall/core';
import { ENGINE_OPTIONS, LOAD_FRACTION, UNIQUE_SUFFIX_BLOCKS, SHARED_PREFIX_BLOCKS } from './options.ts';
import type { Scenario } from './types.ts';

export const MODEL = 'small';
const BLOCK_CHARACTERS = 256;
/** Organisation sizes follow a power law; with an exponent of 1 the largest would occupy most engines. */
const POPULARITY_EXPONENT = 0.8;
const ORGANISATIONS_PER_ENGINE_SMALL_FLEET = 5;
const ORGANISATIONS_PER_ENGINE_LARGE_FLEET = 2;
const LARGE_FLEET_ENGINE_COUNT = 100;

export interface Arrival {
  readonly requestId: string;
  readonly atMs: number;
  readonly routerIndex: number;
  readonly messages: readonly ChatMessage[];
}

function createBlocks(label: string, count: number): string {
  return Array.from({ length: count }, (_, block) =>
    `${label} block ${block} `.padEnd(BLOCK_CHARACTERS, '.'),
  ).join('');
}

/** Requests per millisecond that fill `LOAD_FRACTION` of all batches if no prompt is cached. */
export function arrivalRatePerMs(scenario: Scenario): number {
  const { maxRunning, tokenIntervalMs, tokenIntervalPerSequenceMs, prefillMsPerBlock } = ENGINE_OPTIONS;
  const intervalMs = tokenIntervalMs + (maxRunning - 1) * tokenIntervalPerSequenceMs;
  const prefillMs = (SHARED_PREFIX_BLOCKS + UNIQUE_SUFFIX_BLOCKS) * prefillMsPerBlock;
  const meanTokens = scenario.maxOutputTokens * 0.75;
  return (LOAD_FRACTION * scenario.engineCount * maxRunning) / (prefillMs + meanTokens * intervalMs);
}

interface Organisation {
  readonly share: number;
  /** Indexes of the entry routers that its callers use. */
  readonly routers: readonly number[];
}

function createOrganisations(scenario: Scenario): Organisation[] {
  const perEngine =
    scenario.engineCount >= LARGE_FLEET_ENGINE_COUNT
      ? ORGANISATIONS_PER_ENGINE_LARGE_FLEET
      : ORGANISATIONS_PER_ENGINE_SMALL_FLEET;
  const count = scenario.engineCount * perEngine;
  const weights = Array.from({ length: count }, (_, index) => (index + 1) ** -POPULARITY_EXPONENT);
  const totalWeight = weights.reduce((total, weight) => total + weight, 0);
  const routerNames = Array.from({ length: scenario.routerCount }, (_, index) => String(index));
  return weights.map((weight, index) => {
    const share = weight / totalWeight;
    const replicas = Math.max(DEFAULT_CORE_OPTIONS.entryReplicas, Math.ceil(share * scenario.routerCount));
    const routers = rendezvousOrder(`organisation-${index}`, routerNames).slice(0, replicas).map(Number);
    return { share, routers };
  });
}

/** Creates Poisson arrivals, each at a random entry router of its organisation. */
export function createArrivals(scenario: Scenario, random: RandomSource): Arrival[] {
  const organisations = createOrganisations(scenario);
  const prefixes = organisations.map((_, index) =>
    createBlocks(`organisation ${index}`, SHARED_PREFIX_BLOCKS),
  );
  const ratePerMs = arrivalRatePerMs(scenario);
  let atMs = 0;
  return Array.from({ length: scenario.requestCount }, (_, index) => {
    atMs += -Math.log(1 - random()) / ratePerMs;
    const organisationIndex = pickByShare(organisations, random());
    const routers = organisations[organisationIndex]?.routers ?? [0];
    const routerIndex = routers[Math.floor(random() * routers.length)] ?? 0;
    const prefix = scenario.sharedPrefixes
      ? (prefixes[organisationIndex] ?? '')
      : createBlocks(`alone ${index}`, SHARED_PREFIX_BLOCKS);
    const content = `${prefix}${createBlocks(`request ${index}`, UNIQUE_SUFFIX_BLOCKS)}`;
    const messages = [{ role: 'user', content }];
    return { requestId: `request-${index}`, atMs, routerIndex, messages };
  });
}

function pickByShare(organisations: readonly Organisation[], draw: number): number {
  let remainingShare = draw;
  const index = organisations.findIndex(({ share }) => {
    remainingShare -= share;
    return remainingShare < 0;
  });
  return Math.max(0, index);
}
