import { EventKind, PeerMessageKind, SectionName } from '@pimentostall/core';
import { parseConfigurationSections } from '@pimentostall/settings';
import { decodeEnvelope } from '../../../shell/src/peers/decodeEnvelope.ts';
import { encodeEnvelope } from '../../../shell/src/peers/encodeEnvelope.ts';
import { applyDocument, createDocument, createStoredConfiguration } from './configurationModel.ts';
import { RouterHarness, createRouterInFleet } from './routerHarness.ts';
import { peerSender } from './fleetModel.ts';
import type { SlopeOptions } from './options.ts';
import { selectSizes } from './options.ts';
import { cpuMillisecondsPerCall, measureCpuMicros, measureRetainedBytes } from './resources.ts';
import type { Series } from './series.ts';
import { measureSizes } from './series.ts';
import { TARGET } from './target.ts';

const SIZES = [10, 100, 1_000, TARGET.organisations];
const BUDGET_SIZES = [100, 1_000, 10_000];

type Name = 'text' | 'parse' | 'activate' | 'message' | 'codec' | 'memory';

function measureDocument(organisations: number): Readonly<Record<Name, number>> {
  const document = createDocument(organisations, TARGET.engines);
  const stored = createStoredConfiguration(document, 2);
  const message = { kind: PeerMessageKind.ConfigurationReply, configuration: stored } as const;
  const parse = cpuMillisecondsPerCall(1, () => {
    parseConfigurationSections(stored.sections)._unsafeUnwrap();
  });
  const { bytes: memory } = measureRetainedBytes(() => parseConfigurationSections(stored.sections));
  const router = new RouterHarness();
  const event = { kind: EventKind.PeerReceived, sender: peerSender(2), message } as const;
  const activation = cpuMillisecondsPerCall(1, () => router.step([event]));
  if (router.core.board.configuration?.revision !== stored.revision) {
    throw new Error('The measured document was not activated.');
  }
  let encoded: Uint8Array = new Uint8Array();
  const codec = cpuMillisecondsPerCall(1, () => {
    encoded = encodeEnvelope(peerSender(0), message);
    decodeEnvelope(encoded);
  });
  const text = stored.sections.reduce((sum, section) => sum + Buffer.byteLength(section.text), 0);
  return { text, parse, activate: activation, message: encoded.length, codec, memory };
}

/** One pass over the budgets for top-ups to apply, with as many peers as a region has at the target size. */
function measureTopUpPass(budgets: number): Readonly<Record<'pass', number>> {
  const router = createRouterInFleet(TARGET.routers);
  applyDocument(router, { [SectionName.Budgets]: createDocument(budgets, 0).budgets });
  return { pass: measureCpuMicros(() => router.advance(1_000)) / 1_000 };
}

/** Cost of the configuration document by the number of organisations with one budget each. */
export function measureConfiguration(options: SlopeOptions): Series[] {
  const points = measureSizes(selectSizes(options, SIZES), options.repeats, measureDocument);
  const passes = measureSizes(selectSizes(options, BUDGET_SIZES), options.repeats, measureTopUpPass);
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
