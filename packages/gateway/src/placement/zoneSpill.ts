import { hash32 } from '@pimentostall/core';
import { ZoneDistance } from './zoneDistance.ts';

export interface SpillBand {
  /** A fraction rises while the mean gain of leaving is above this. */
  readonly raiseAboveMs: number;
  /** It falls while the mean gain is below this. */
  readonly lowerBelowMs: number;
}

export interface ZoneSpillOptions {
  /** Least time between two steps of a fraction. */
  readonly stepPeriodMs: number;
  readonly minStep: number;
  readonly maxStep: number;
  /** Gain for which a fraction rises by 1 in a step, before the bounds of a step apply. */
  readonly fullStepGainMs: number;
  /**
   * A request beyond the fraction leaves nevertheless if waiting in its zone costs this much more: fractions follow a
   * move of callers late.
   */
  readonly maxHoldMs: number;
  /** Time constant of the mean gain. */
  readonly gainMemoryMs: number;
  readonly otherZones: SpillBand;
  readonly otherRegion: SpillBand;
  readonly maxRegionFraction: number;
  /** Bytes per second that all routers together may send to the other region because their own is short. */
  readonly regionBytesPerSecond: number;
  /** Time after which response times of a zone no longer count. */
  readonly responseMemoryMs: number;
  /** Time within which the cost of an upstream's failures falls to 0. */
  readonly failureMemoryMs: number;
}

export const DEFAULT_ZONE_SPILL: ZoneSpillOptions = {
  stepPeriodMs: 250,
  minStep: 0.05,
  maxStep: 0.35,
  fullStepGainMs: 40,
  maxHoldMs: 30,
  gainMemoryMs: 250,
  otherZones: { raiseAboveMs: 4, lowerBelowMs: 1 },
  otherRegion: { raiseAboveMs: 10, lowerBelowMs: 3 },
  maxRegionFraction: 0.5,
  // Half of the link between regions, 42 Mbit/s. The rest is for cached parts, responses and the traffic between routers.
  regionBytesPerSecond: 42e6 / 8 / 2,
  responseMemoryMs: 3_000,
  failureMemoryMs: 5_000,
};

/** What a request would have gained by leaving, in milliseconds of its placement cost. */
export interface SpillGains {
  /** The best upstream of the region against the best one without leaving the zone for its load. */
  readonly otherZonesMs: number;
  /** The best upstream of all against the best one without leaving the region for its load. */
  readonly otherRegionMs: number;
}

export interface FractionChange {
  readonly distance: ZoneDistance.OtherZone | ZoneDistance.OtherRegion;
  readonly from: number;
  readonly to: number;
  readonly gainMs: number;
}

/** One fraction, which moves in bounded steps while the mean gain is outside of a band. */
class SpillFraction {
  value = 0;
  private meanGainMs = 0;
  private gainAtMs = -Infinity;
  private steppedAtMs = -Infinity;

  constructor(
    private readonly distance: FractionChange['distance'],
    private readonly band: SpillBand,
    private readonly options: ZoneSpillOptions,
  ) {}

  update(gainMs: number, limit: number, nowMs: number): FractionChange | undefined {
    const { gainMemoryMs, stepPeriodMs } = this.options;
    const elapsedMs = Math.max(MIN_GAIN_INTERVAL_MS, nowMs - this.gainAtMs);
    this.meanGainMs += (1 - Math.exp(-elapsedMs / gainMemoryMs)) * (gainMs - this.meanGainMs);
    this.gainAtMs = nowMs;
    const periods = Math.floor((nowMs - this.steppedAtMs) / stepPeriodMs);
    if (periods < 1) {
      return undefined;
    }
    const from = this.value;
    this.value = Math.min(limit, Math.max(0, from + this.step(periods)));
    this.steppedAtMs = nowMs;
    return this.value === from
      ? undefined
      : { distance: this.distance, from, to: this.value, gainMs: this.meanGainMs };
  }

  private step(periods: number): number {
    const { fullStepGainMs, maxStep, minStep } = this.options;
    if (this.meanGainMs > this.band.raiseAboveMs) {
      return Math.min(maxStep, Math.max(minStep, this.meanGainMs / fullStepGainMs));
    }
    // Without requests there were no steps, so that a fraction also falls by the steps that were left out.
    return this.meanGainMs < this.band.lowerBelowMs ? -minStep * Math.min(periods, 1 / minStep) : 0;
  }
}

/** Requests that arrive together count at least this much in the mean gain. */
const MIN_GAIN_INTERVAL_MS = 5;

/** Mean bytes per second of the requests of this router. */
export class OfferedBytes {
  private perSecond = 0;
  private atMs = -Infinity;

  record(bytes: number, nowMs: number): void {
    this.perSecond = this.rate(nowMs) + (bytes * 1_000) / RATE_MEMORY_MS;
    this.atMs = nowMs;
  }

  rate(nowMs: number): number {
    return this.perSecond * Math.exp(-(nowMs - this.atMs) / RATE_MEMORY_MS);
  }
}

const RATE_MEMORY_MS = 2_000;

/**
 * Fraction of this router's requests that may go to the other region, so that all routers together stay within their
 * part of the link: each assumes that the others send as much.
 */
export function regionFractionLimit(
  offeredBytesPerSecond: number,
  routerCount: number,
  options: ZoneSpillOptions,
): number {
  const shareBytesPerSecond = options.regionBytesPerSecond / Math.max(1, routerCount);
  return Math.min(
    options.maxRegionFraction,
    shareBytesPerSecond / Math.max(offeredBytesPerSecond, Number.EPSILON),
  );
}

/** Time constant of the mean response time of a zone, and the least weight of a response after which it is used. */
const RESPONSE_MEAN_MS = 500;
/** Response times up to this factor of the usual mean, or this much above it, are taken for the variation of work. */
const USUAL_FACTOR = 1.5;
const USUAL_EXCESS_MS = 5;
/** Time constants with which the usual time follows a mean that is lower or higher. */
const USUAL_FALL_MS = 2_000;
const USUAL_RISE_MS = 60_000;
const MAX_ZONES = 64;

interface ZoneResponses {
  meanMs: number;
  atMs: number;
}

/**
 * Decides for one service which fraction of this router's requests may leave the zone because it is short. Answers the
 * load of zones whose upstreams are too few for a time: demand that moves between zones, and zones of plain services
 * with one small instance each. A request within the fraction is placed by cost alone. For any other, an upstream
 * elsewhere counts as at least as loaded as the least loaded one of its own zone, so that only a cached part or a
 * failure lets it leave. The fractions follow the mean gain that requests had from leaving, or would have had.
 */
export class ServiceSpill {
  private readonly zones: SpillFraction;
  private readonly region: SpillFraction;
  private readonly responses = new Map<string, ZoneResponses>();
  private usualMs: number | undefined;
  private usualAtMs = 0;

  constructor(private readonly options: ZoneSpillOptions = DEFAULT_ZONE_SPILL) {
    this.zones = new SpillFraction(ZoneDistance.OtherZone, options.otherZones, options);
    this.region = new SpillFraction(ZoneDistance.OtherRegion, options.otherRegion, options);
  }

  get otherZonesFraction(): number {
    return this.zones.value;
  }

  get otherRegionFraction(): number {
    return this.region.value;
  }

  /** How far a request may go because nearer upstreams are busy. */
  widestOf(requestKey: string): ZoneDistance {
    const drawn = hash32(`reach|${requestKey}`) / 2 ** 32;
    if (drawn < this.region.value) {
      return ZoneDistance.OtherRegion;
    }
    return drawn < this.zones.value ? ZoneDistance.OtherZone : ZoneDistance.OwnZone;
  }

  /** Records the gains of a request and returns the fractions that changed. */
  recordGains(gains: SpillGains, regionLimit: number, nowMs: number): FractionChange[] {
    return [
      this.zones.update(gains.otherZonesMs, 1, nowMs),
      this.region.update(gains.otherRegionMs, regionLimit, nowMs),
    ].filter((change) => change !== undefined);
  }

  /** Records the time of a response, without the prefill that it needed. */
  recordResponse(zone: string, durationMs: number, nowMs: number): void {
    const known = this.responses.get(zone);
    if (known === undefined || nowMs - known.atMs > this.options.responseMemoryMs) {
      if (known !== undefined || this.responses.size < MAX_ZONES) {
        this.responses.set(zone, { meanMs: durationMs, atMs: nowMs });
      }
    } else {
      const elapsedMs = Math.max(MIN_GAIN_INTERVAL_MS, nowMs - known.atMs);
      known.meanMs += (1 - Math.exp(-elapsedMs / RESPONSE_MEAN_MS)) * (durationMs - known.meanMs);
      known.atMs = nowMs;
    }
    const meanMs = this.responses.get(zone)?.meanMs ?? durationMs;
    if (this.usualMs === undefined) {
      this.usualMs = meanMs;
    } else {
      const constantMs = meanMs < this.usualMs ? USUAL_FALL_MS : USUAL_RISE_MS;
      this.usualMs += (1 - Math.exp(-(nowMs - this.usualAtMs) / constantMs)) * (meanMs - this.usualMs);
    }
    this.usualAtMs = nowMs;
  }

  /** Returns by how much responses of a zone lately took longer than usual, in milliseconds; 0 if not known. */
  waitMs(zone: string, nowMs: number): number {
    const known = this.responses.get(zone);
    if (known === undefined || this.usualMs === undefined) {
      return 0;
    }
    const usualMs = Math.max(this.usualMs * USUAL_FACTOR, this.usualMs + USUAL_EXCESS_MS);
    const weight = Math.max(0, 1 - (nowMs - known.atMs) / this.options.responseMemoryMs);
    return weight * Math.max(0, known.meanMs - usualMs);
  }
}
