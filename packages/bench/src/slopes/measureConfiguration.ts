import { EventKind, PeerMessageKind, SectionName } from '@pimentostall/core';
import { parseConfigurationSections } from '@pimentostall/settings';
import { decodeEnvelope } from '../../../shell/src/peers/decodeEnvelope.ts';
import { encodeEnvelope } from '../../../shell/src/peers/encodeEnvelope.ts';
import { configure, documentOf, storedOf } from './configurationModel.ts';
import { DrivenRouter, routerInFleet } from './drivenRouter.ts';
import { senderOf } from './fleetModel.ts';
import type { SlopeOptions } from './options.ts';
import { sizesOf } from './options.ts';
import { millisecondsPerCall, processorMicros, retainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [10, 100, 1_000, TARGET.organisations];
const BUDGET_SIZES = [100, 1_000, 10_000];

type Name = 'text' | 'parse' | 'activate' | 'message' | 'codec' | 'memory';

function measureDocument(organisations: number): Readonly<Record<Name, number>> {
  const document = documentOf(organisations, TARGET.engines);
  const stored = storedOf(document, 2);
  const message = { kind: PeerMessageKind.ConfigurationReply, configuration: stored } as const;
  const parse = millisecondsPerCall(1, () => {
    parseConfigurationSections(stored.sections)._unsafeUnwrap();
  });
  const { bytes: memory } = retainedBytes(() => parseConfigurationSections(stored.sections));
  const router = new DrivenRouter();
  const event = { kind: EventKind.PeerReceived, sender: senderOf(2), message } as const;
  const taken = millisecondsPerCall(1, () => router.step([event]));
  if (router.core.board.configuration?.revision !== stored.revision) {
    throw new Error('The measured document must come into force.');
  }
  let wire: Uint8Array = new Uint8Array();
  const codec = millisecondsPerCall(1, () => {
    wire = encodeEnvelope(senderOf(0), message);
    decodeEnvelope(wire);
  });
  const text = stored.sections.reduce((sum, section) => sum + Buffer.byteLength(section.text), 0);
  return { text, parse, activate: taken, message: wire.length, codec, memory };
}

/** One pass that looks for top-ups to apply, with the routers of a region of the target's size as peers. */
function measureTopUpPass(budgets: number): Readonly<Record<'pass', number>> {
  const router = routerInFleet(TARGET.routers);
  configure(router, { [SectionName.Budgets]: documentOf(budgets, 0).budgets });
  return { pass: processorMicros(() => router.advance(1_000)) / 1_000 };
}

/** The configuration document, by organisations with one budget each. */
export function measureConfiguration(options: SlopeOptions): Series[] {
  const points = measureSizes(sizesOf(options, SIZES), options.repeats, measureDocument);
  const passes = measureSizes(sizesOf(options, BUDGET_SIZES), options.repeats, measureTopUpPass);
  const series = (id: string, quantity: string, unit: string, name: Name): Series => ({
    id: `configuration.${id}`,
    quantity,
    unit,
    sizeUnit: 'organisations with a budget',
    targetSize: TARGET.budgets,
    points: points(name),
  });
  const budgets = { sizeUnit: 'budgets in the document', targetSize: TARGET.budgets };
  return [
    series('parse', 'parse and check', 'ms', 'parse'),
    series('takeOver', 'one step that puts it in force, parse included', 'ms', 'activate'),
    series('textBytes', 'text', 'B', 'text'),
    series('messageBytes', 'ConfigurationReply', 'B', 'message'),
    series('codec', 'encode and decode the reply', 'ms', 'codec'),
    series('memory', 'checked document', 'B', 'memory'),
    {
      ...budgets,
      id: 'configuration.topUpPass',
      quantity: 'one pass of the top-up watch, 174 peers',
      unit: 'ms',
      points: passes('pass'),
    },
  ];
}
