import { RecordState, RouterState, SectionName } from '@pimentostall/core';
import { pimentostall as wire } from '../generated/peer.js';

/** Maps an enum of the core to its protobuf numbers and back. */
export class EnumMap<T extends string, N extends number> {
  private readonly byNumber: ReadonlyMap<number, T>;

  constructor(private readonly numbers: Readonly<Record<T, N>>) {
    const entries = Object.entries(numbers) as [T, N][];
    this.byNumber = new Map(entries.map(([value, number]) => [number, value]));
  }

  encode(value: T): N {
    return this.numbers[value];
  }

  decode(number: number | null | undefined): T {
    const value = this.byNumber.get(number ?? 0);
    if (value === undefined) {
      throw new Error(`Unknown enum number ${number ?? 0} in a peer message.`);
    }
    return value;
  }
}

export const routerStates = new EnumMap<RouterState, wire.RouterState>({
  [RouterState.Starting]: wire.RouterState.ROUTER_STATE_STARTING,
  [RouterState.Live]: wire.RouterState.ROUTER_STATE_LIVE,
  [RouterState.Draining]: wire.RouterState.ROUTER_STATE_DRAINING,
});

export const recordStates = new EnumMap<RecordState, wire.RecordState>({
  [RecordState.Reserved]: wire.RecordState.RECORD_STATE_RESERVED,
  [RecordState.Used]: wire.RecordState.RECORD_STATE_USED,
});

export const sectionNames = new EnumMap<SectionName, wire.SectionName>({
  [SectionName.Organisations]: wire.SectionName.SECTION_NAME_ORGANISATIONS,
  [SectionName.Budgets]: wire.SectionName.SECTION_NAME_BUDGETS,
  [SectionName.Services]: wire.SectionName.SECTION_NAME_SERVICES,
  [SectionName.Rules]: wire.SectionName.SECTION_NAME_RULES,
  [SectionName.Classes]: wire.SectionName.SECTION_NAME_CLASSES,
  [SectionName.Engines]: wire.SectionName.SECTION_NAME_ENGINES,
});

/**
 * Decodes an int64, which protobufjs may represent as its own type. Throws if it is no safe integer, because
 * amounts must be exact.
 */
export function decodeSafeInteger(value: unknown): number {
  const integer = Number(value ?? 0);
  if (!Number.isSafeInteger(integer)) {
    throw new Error('An integer in a peer message is not a safe integer.');
  }
  return integer;
}
