import { err, ok } from 'neverthrow';
import { RouterCore } from '../../routerCore.ts';
import { seededRandom } from '../../random.ts';
import { SectionName } from '../../types/configuration.ts';
import type { ConfigurationParser, EngineSection, StoredConfiguration } from '../../types/configuration.ts';
import type { Effect } from '../../types/effects.ts';
import { EffectKind } from '../../types/effects.ts';
import type { AdminRequest, CoreEvent } from '../../types/events.ts';
import { EventKind } from '../../types/events.ts';
import type { VmRow } from '../../types/membership.ts';
import type { PeerMessage, PeerSender } from '../../types/messages.ts';
import { PeerMessageKind, RouterState } from '../../types/messages.ts';
import { TableFake } from './tableFake.ts';

/** Accepts every text except `broken`, so that the core is tested independently of the schema. */
const fakeParser =
  (engines: readonly EngineSection[]): ConfigurationParser =>
  (sections) => {
    const broken = sections.find((section) => section.text === 'broken');
    return broken === undefined
      ? ok({ organisations: [], budgets: [], services: [], rules: [], classes: [], engines })
      : err([
          {
            section: broken.name,
            line: 1,
            column: 1,
            field: 'x',
            expected: 'a list',
            advice: 'write a list',
          },
        ]);
  };

export function configurationAt(revision: number, text = '[]'): StoredConfiguration {
  const name = SectionName.Classes;
  return {
    revision,
    sections: [{ name, version: revision, text, changedBy: 'ana', changedAtMs: 1, changeId: `c${revision}` }],
  };
}

export interface CoreDriverSetup {
  readonly number?: number;
  readonly table?: TableFake;
  /** Engines of every parsed configuration. */
  readonly engines?: readonly EngineSection[];
}

/** Steps a router core with a fake clock and replies to its table calls from a fake table. */
export class CoreDriver {
  readonly core: RouterCore;
  readonly table: TableFake;
  readonly effects: Effect[] = [];
  members: readonly VmRow[] | undefined = [];
  /** While false, the commit that writes the router row is not applied and gets no reply. */
  acceptsRouterRow = true;
  nowMs = 0;

  constructor(setup: CoreDriverSetup = {}) {
    const number = setup.number ?? 1;
    this.table = setup.table ?? new TableFake();
    this.core = new RouterCore({
      identity: { ...peerSenderOf(number), storeRegion: 'near', callerAddress: `10.0.0.${number}:80` },
      random: seededRandom(number),
      clock: { monotonicMs: 0, wallMs: 0 },
      parseConfiguration: fakeParser(setup.engines ?? []),
    });
  }

  /** Steps the core until no effect needs a reply. */
  step(...events: CoreEvent[]): Effect[] {
    const seen: Effect[] = [];
    let pending = events;
    do {
      const clock = { monotonicMs: this.nowMs, wallMs: this.nowMs };
      const { effects } = this.core.step(pending, clock);
      seen.push(...effects);
      pending = effects.flatMap((effect) => this.answer(effect));
    } while (pending.length > 0);
    this.effects.push(...seen);
    return seen;
  }

  /** Advances the clock in steps of 250 ms, as the shell does. */
  advance(durationMs: number): Effect[] {
    const seen: Effect[] = [];
    for (const endMs = this.nowMs + durationMs; this.nowMs < endMs;) {
      this.nowMs += 250;
      seen.push(...this.step());
    }
    return seen;
  }

  receive(number: number, message: PeerMessage, region = 'near'): Effect[] {
    return this.step({
      kind: EventKind.PeerReceived,
      sender: { ...peerSenderOf(number), region },
      message,
    });
  }

  hear(number: number, state = RouterState.Live, configurationRevision = 0, region = 'near'): Effect[] {
    return this.receive(number, heartbeat(number, state, configurationRevision), region);
  }

  admin(request: Partial<AdminRequest>): Effect[] {
    const wholeRequest = { method: 'GET', path: '', query: {}, body: '', keySha256: 'k1', ...request };
    return this.step({ kind: EventKind.AdminArrived, exchangeId: 'x', request: wholeRequest });
  }

  private answer(effect: Effect): CoreEvent[] {
    if (effect.kind === EffectKind.MembershipRead) {
      return [{ kind: EventKind.MembershipReply, callId: effect.callId, rows: this.members }];
    }
    if (!this.acceptsRouterRow && isRouterRowCommit(effect)) {
      return [];
    }
    const outcome = this.table.answer(effect);
    return outcome === undefined || !('callId' in effect)
      ? []
      : [{ kind: EventKind.TableReply, callId: effect.callId, outcome }];
  }
}

function isRouterRowCommit(effect: Effect): boolean {
  return (
    effect.kind === EffectKind.TableCommit &&
    effect.transaction.writes.some((write) => write.key.startsWith('router/'))
  );
}

export function peerSenderOf(number: number): PeerSender {
  return {
    routerId: `r${number}`,
    vmId: `vm${number}`,
    incarnationId: `i${number}`,
    region: 'near',
    availabilityZone: 'near-a',
    peerAddress: `10.0.0.${number}:81`,
  };
}

export function heartbeat(number: number, state: RouterState, configurationRevision: number): PeerMessage {
  return {
    kind: PeerMessageKind.Heartbeat,
    state,
    callerAddress: `10.0.0.${number}:80`,
    configurationRevision,
    openRequestCount: 0,
    shareLevels: [],
  };
}

export function peerSends(effects: readonly Effect[], kind: PeerMessageKind): string[] {
  return effects.flatMap((effect) =>
    effect.kind === EffectKind.PeerSend && effect.message.kind === kind ? [effect.peerAddress] : [],
  );
}
