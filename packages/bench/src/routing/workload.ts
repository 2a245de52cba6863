import type { ChatMessage, RandomSource } from '@pimentostall/core';
import { DEFAULT_CORE_OPTIONS, rendezvousOrder } from '@pimentostall/core';
import { ENGINE_OPTIONS, LOAD_FRACTION, OWN_BLOCKS, SHARED_BLOCKS } from './options.ts';
import type { Scenario } from './types.ts';

export const MODEL = 'small';
const BLOCK_CHARACTERS = 256;
/** Organisations differ in size by a power law; at 1 the largest would need most engines for itself. */
const POPULARITY_EXPONENT = 0.8;
const ORGANISATIONS_PER_ENGINE_SMALL = 5;
const ORGANISATIONS_PER_ENGINE_LARGE = 2;
const LARGE_ENGINE_COUNT = 100;

export interface Arrival {
  readonly requestId: string;
  readonly atMs: number;
  readonly routerIndex: number;
  readonly messages: readonly ChatMessage[];
}

function blocksOf(label: string, count: number): string {
  return Array.from({ length: count }, (_, block) =>
    `${label} block ${block} `.padEnd(BLOCK_CHARACTERS, '.'),
  ).join('');
}

/** Requests a second that fill the given part of all batches if no prompt is cached. */
export function arrivalsPerMs(scenario: Scenario): number {
  const { maxRunning, tokenIntervalMs, tokenIntervalPerSequenceMs, prefillMsPerBlock } = ENGINE_OPTIONS;
  const intervalMs = tokenIntervalMs + (maxRunning - 1) * tokenIntervalPerSequenceMs;
  const prefillMs = (SHARED_BLOCKS + OWN_BLOCKS) * prefillMsPerBlock;
  const meanTokens = scenario.maxOutputTokens * 0.75;
  return (LOAD_FRACTION * scenario.engineCount * maxRunning) / (prefillMs + meanTokens * intervalMs);
}

interface Organisation {
  readonly share: number;
  /** Entry addresses, as callers learn them. */
  readonly routers: readonly number[];
}

function organisationsOf(scenario: Scenario): Organisation[] {
  const perEngine =
    scenario.engineCount >= LARGE_ENGINE_COUNT
      ? ORGANISATIONS_PER_ENGINE_LARGE
      : ORGANISATIONS_PER_ENGINE_SMALL;
  const count = scenario.engineCount * perEngine;
  const weights = Array.from({ length: count }, (_, index) => (index + 1) ** -POPULARITY_EXPONENT);
  const sum = weights.reduce((total, weight) => total + weight, 0);
  const routerNames = Array.from({ length: scenario.routerCount }, (_, index) => String(index));
  return weights.map((weight, index) => {
    const share = weight / sum;
    const replicas = Math.max(DEFAULT_CORE_OPTIONS.entryReplicas, Math.ceil(share * scenario.routerCount));
    const routers = rendezvousOrder(`organisation-${index}`, routerNames).slice(0, replicas).map(Number);
    return { share, routers };
  });
}

/** The arrivals of a run: random in time, at the entry routers of their organisation. */
export function createArrivals(scenario: Scenario, random: RandomSource): Arrival[] {
  const organisations = organisationsOf(scenario);
  const prefixes = organisations.map((_, index) => blocksOf(`organisation ${index}`, SHARED_BLOCKS));
  const rate = arrivalsPerMs(scenario);
  let atMs = 0;
  return Array.from({ length: scenario.requestCount }, (_, index) => {
    atMs += -Math.log(1 - random()) / rate;
    const organisationIndex = pickByShare(organisations, random());
    const routers = organisations[organisationIndex]?.routers ?? [0];
    const routerIndex = routers[Math.floor(random() * routers.length)] ?? 0;
    const prefix = scenario.sharedPrefixes
      ? (prefixes[organisationIndex] ?? '')
      : blocksOf(`alone ${index}`, SHARED_BLOCKS);
    const content = `${prefix}${blocksOf(`request ${index}`, OWN_BLOCKS)}`;

    const messages = [{ role: 'user', content }];
    return { requestId: `request-${index}`, atMs, routerIndex, messages };
  });
}

function pickByShare(organisations: readonly Organisation[], random: number): number {
  let left = random;
  const index = organisations.findIndex(({ share }) => {
    left -= share;
    return left < 0;
  });
  return Math.max(0, index);
}
