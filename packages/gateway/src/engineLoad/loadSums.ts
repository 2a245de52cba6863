/**
 * Loads of engines as a flat list: for each engine its key, its pending prompt tokens and its requests in flight, all of
 * them non-negative integers. Engines without load are left out.
 */
export type EngineLoads = readonly number[];

/** Numbers per engine in `EngineLoads`. */
export const FIELDS_PER_ENGINE = 3;
/** Maximum number of engines in one message. */
export const MAX_ENGINES = 1_024;
/** Maximum number of routers or collectors whose loads are summed. */
const MAX_SOURCES = 512;

interface Load {
  pendingTokens: number;
  inFlight: number;
}

interface Contribution {
  readonly loads: EngineLoads;
  readonly receivedAtMs: number;
}

/**
 * Sums of the loads that several sources reported. Answers the load of many routers that report a few times per second:
 * a report replaces the earlier one of its source, so that lost, repeated and late messages leave no error, and the
 * sums are updated by the difference. A source that reports nothing for a time counts as dead.
 */
export class LoadSums {
  private readonly contributions = new Map<string, Contribution>();
  private readonly sums = new Map<number, Load>();

  constructor(private readonly expiryMs: number) {}

  /** Whether a source other than the given one counts. */
  hasSourceBeside(source: string): boolean {
    return this.contributions.size > (this.contributions.has(source) ? 1 : 0);
  }

  /** False if all sums are zero. */
  get hasLoad(): boolean {
    return this.sums.size > 0;
  }

  /** Replaces what a source reported. Returns false if there are too many sources. */
  replace(source: string, loads: EngineLoads, nowMs: number): boolean {
    const previous = this.contributions.get(source);
    if (previous === undefined && this.contributions.size >= MAX_SOURCES) {
      return false;
    }
    this.add(previous?.loads ?? [], -1);
    this.add(loads, 1);
    this.contributions.set(source, { loads, receivedAtMs: nowMs });
    return true;
  }

  remove(source: string): void {
    this.add(this.contributions.get(source)?.loads ?? [], -1);
    this.contributions.delete(source);
  }

  /** Removes the sources that have not reported for the expiry time. */
  expire(nowMs: number): void {
    for (const [source, { receivedAtMs }] of this.contributions) {
      if (nowMs - receivedAtMs >= this.expiryMs) {
        this.remove(source);
      }
    }
  }

  /** Last report of a source; empty without one. */
  loadsOf(source: string): EngineLoads {
    return this.contributions.get(source)?.loads ?? [];
  }

  /** Sums over all sources. */
  total(): EngineLoads {
    return sumLoads([this.flatSums()]);
  }

  /** Sums over the sources of this and another instance, without one source of this one. */
  totalWith(other: LoadSums, exceptSource: string): EngineLoads {
    return sumLoads([this.flatSums(), other.flatSums()], this.loadsOf(exceptSource));
  }

  private flatSums(): number[] {
    const loads: number[] = [];
    for (const [key, { pendingTokens, inFlight }] of this.sums) {
      loads.push(key, pendingTokens, inFlight);
    }
    return loads;
  }

  private add(loads: EngineLoads, sign: 1 | -1): void {
    forEachLoad(loads, (key, pendingTokens, inFlight) => {
      addLoad(this.sums, key, sign * pendingTokens, sign * inFlight);
    });
  }
}

/** Calls the visitor for each engine of a list. */
export function forEachLoad(
  loads: EngineLoads,
  visit: (key: number, pendingTokens: number, inFlight: number) => void,
): void {
  for (let index = 0; index + FIELDS_PER_ENGINE <= loads.length; index += FIELDS_PER_ENGINE) {
    visit(loads[index] ?? 0, loads[index + 1] ?? 0, loads[index + 2] ?? 0);
  }
}

/** Adds lists, subtracts another one, and keeps what fits into a message. */
function sumLoads(added: readonly EngineLoads[], subtracted: EngineLoads = []): EngineLoads {
  const sums = new Map<number, Load>();
  for (const loads of added) {
    forEachLoad(loads, (key, pendingTokens, inFlight) => {
      addLoad(sums, key, pendingTokens, inFlight);
    });
  }
  forEachLoad(subtracted, (key, pendingTokens, inFlight) => {
    addLoad(sums, key, -pendingTokens, -inFlight);
  });
  const loads: number[] = [];
  for (const [key, { pendingTokens, inFlight }] of sums) {
    if (loads.length < MAX_ENGINES * FIELDS_PER_ENGINE) {
      loads.push(key, pendingTokens, inFlight);
    }
  }
  return loads;
}

function addLoad(sums: Map<number, Load>, key: number, pendingTokens: number, inFlight: number): void {
  const load = sums.get(key);
  if (load === undefined) {
    if (pendingTokens !== 0 || inFlight !== 0) {
      sums.set(key, { pendingTokens, inFlight });
    }
    return;
  }
  load.pendingTokens += pendingTokens;
  load.inFlight += inFlight;
  if (load.pendingTokens === 0 && load.inFlight === 0) {
    sums.delete(key);
  }
}
