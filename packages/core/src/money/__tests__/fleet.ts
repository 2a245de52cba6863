import { ok } from 'neverthrow';
import type { RouterIdentity } from '../../blackboard.ts';
import type { CoreContext } from '../../context.ts';
import { RouterCore } from '../../routerCore.ts';
import { seededRandom } from '../../random.ts';
import type { Task } from '../../scheduler/task.ts';
import type { Effect } from '../../types/effects.ts';
import { EffectKind, LogLevel } from '../../types/effects.ts';
import type { CoreEvent } from '../../types/events.ts';
import { EventKind } from '../../types/events.ts';
import type { CoreOptions } from '../../types/options.ts';
import type { ConfigurationDocument } from '../../types/configuration.ts';
import type { VmRow } from '../../types/membership.ts';
import { VmRole, VmState } from '../../types/membership.ts';
import { PeerMessageKind, RouterState } from '../../types/messages.ts';
import type { TableTransaction } from '../../types/table.ts';
import { TableOutcomeKind } from '../../types/table.ts';
import { shareLevels } from '../shareLevels.ts';
import { reserve } from '../reserve.ts';
import type { Reservation } from '../types.ts';
import { TableFake } from './tableFake.ts';

export const ORGANISATION = 'karibu-school';
const EMPTY_DOCUMENT = { organisations: [], budgets: [], services: [], rules: [], classes: [], engines: [] };

export interface Node {
  readonly name: string;
  readonly core: RouterCore;
  readonly context: CoreContext;
  readonly inbox: CoreEvent[];
  paused: boolean;
  dead: boolean;
  readonly logs: string[];
}

function vmRow(identity: RouterIdentity): VmRow {
  const { vmId, region, availabilityZone, peerAddress } = identity;
  return { vmId, region, availabilityZone, address: peerAddress, role: VmRole.Router, state: VmState.Live };
}

/** Several router cores with a common table and clock. Replies and messages are delivered at the next step. */
export class Fleet {
  readonly table = new TableFake();
  readonly nodes: Node[] = [];
  readonly unlisted = new Set<string>();
  nowMs = 0;
  storeDown = false;
  /** Returns true if the answer to a successful commit of the node is lost. */
  losesReply: (node: Node) => boolean = () => false;
  /** If positive, commits take effect after this delay and their answers are lost. */
  commitDelayMs: () => number = () => 0;
  /** Returns true if the node receives the heartbeats of the peer. */
  hears: (node: Node, peer: Node) => boolean = () => true;
  private readonly delayed: { readonly atMs: number; readonly transaction: TableTransaction }[] = [];

  add(name: string, region = 'nairobi', options: Partial<CoreOptions> = {}): Node {
    const identity = {
      routerId: name,
      vmId: `vm-${name}`,
      region,
      storeRegion: 'nairobi',
      availabilityZone: `${region}-a`,
      callerAddress: `${name}:8080`,
      peerAddress: `${name}:8081`,
    };
    const core = new RouterCore({
      identity,
      random: seededRandom(this.nodes.length + 1),
      clock: this.clock,
      parseConfiguration: () => ok(EMPTY_DOCUMENT),
      options,
    });
    // The tasks under test need the core's context, which is private.
    const { context } = core as unknown as { context: CoreContext };
    const node: Node = { name, core, context, inbox: [], paused: false, dead: false, logs: [] };
    this.nodes.push(node);
    return node;
  }

  get clock(): { monotonicMs: number; wallMs: number } {
    return { monotonicMs: this.nowMs, wallMs: 1_000_000 + this.nowMs };
  }

  configure(topUps: readonly { topUpId: string; amountMicros: number }[]): void {
    for (const { core } of this.nodes) {
      const document: ConfigurationDocument = {
        ...EMPTY_DOCUMENT,
        budgets: [{ organisationId: ORGANISATION, topUps }],
      };
      core.board.configuration = {
        revision: 1,
        stored: { revision: 1, sections: [] },
        document,
        organisationById: new Map(),
        organisationByKeySha256: new Map(),
        ruleByModel: new Map(),
        plainServiceById: new Map(),
      };
    }
  }

  /** Starts a task on a node; `result` of the returned object is set when the task ends. */
  start<T>(node: Node, task: Task<T>): { result: T | undefined } {
    const started: { result: T | undefined } = { result: undefined };
    function* storeResult(): Task<void> {
      started.result = yield* task;
    }
    node.context.spawn('test', storeResult());
    return started;
  }

  run(durationMs: number, stepMs = 5): void {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs = Math.min(endMs, this.nowMs + stepMs);
      this.step();
    }
  }

  step(): void {
    for (const due of this.delayed.filter(({ atMs }) => atMs <= this.nowMs)) {
      this.delayed.splice(this.delayed.indexOf(due), 1);
      this.table.commit(due.transaction);
    }
    for (const node of this.nodes.filter((each) => !each.paused && !each.dead)) {
      this.deliverHeartbeats(node);
      this.updateMembershipList(node);
      const events = node.inbox.splice(0);
      for (const effect of node.core.step(events, this.clock).effects) {
        this.execute(node, effect);
      }
    }
  }

  private deliverHeartbeats(node: Node): void {
    for (const peer of this.nodes.filter((each) => each !== node && !each.paused && !each.dead)) {
      if (!this.hears(node, peer)) {
        continue;
      }
      const { identity, incarnationId } = peer.core.board;
      node.core.board.membership.peers.set(identity.peerAddress, {
        sender: { ...identity, incarnationId },
        state: RouterState.Live,
        callerAddress: identity.callerAddress,
        configurationRevision: 1,
        openRequestCount: 0,
        shareLevels: shareLevels(peer.context),
        heardAtMs: this.nowMs,
      });
    }
  }

  private updateMembershipList(node: Node): void {
    const { membership } = node.core.board;
    const identities = this.nodes.map((each) => each.core.board.identity);
    const listed = identities.filter(({ vmId }) => !this.unlisted.has(vmId));
    membership.vms = new Map(listed.map((identity) => [identity.vmId, vmRow(identity)]));
    membership.listReadAtMs = this.nowMs;
    for (const vmId of this.unlisted) {
      membership.absentSinceMs.set(vmId, membership.absentSinceMs.get(vmId) ?? this.nowMs);
    }
  }

  private execute(node: Node, effect: Effect): void {
    if (effect.kind === EffectKind.PeerSend) {
      // `deliverHeartbeats` simulates heartbeats according to `hears`, so those that the cores send are dropped.
      if (effect.message.kind === PeerMessageKind.Heartbeat) {
        return;
      }
      const { identity, incarnationId } = node.core.board;
      const target = this.nodes.find((each) => each.core.board.identity.peerAddress === effect.peerAddress);
      if (target !== undefined && !target.dead) {
        const sender = { ...identity, incarnationId };
        target.inbox.push({ kind: EventKind.PeerReceived, sender, message: effect.message });
      }
    } else if (effect.kind === EffectKind.Log) {
      node.logs.push(effect.message);
      if (effect.level === LogLevel.Error) {
        throw new Error(`${effect.message} ${JSON.stringify(effect.fields)}`);
      }
    } else {
      this.executeTableCall(node, effect);
    }
  }

  private executeTableCall(node: Node, effect: Effect): void {
    const outcome = this.storeDown ? undefined : this.tableOutcome(effect);
    if (outcome === undefined || !('callId' in effect)) {
      return;
    }
    const lost = outcome.kind === TableOutcomeKind.Committed && this.losesReply(node);
    if (!lost) {
      node.inbox.push({ kind: EventKind.TableReply, callId: effect.callId, outcome });
    }
  }

  private tableOutcome(effect: Effect): ReturnType<TableFake['read']> | undefined {
    switch (effect.kind) {
      case EffectKind.TableRead:
        return this.table.read(effect.keys);
      case EffectKind.TableScan:
        return this.table.scan(effect.keyPrefix);
      case EffectKind.TableCommit:
        if (this.commitDelayMs() > 0) {
          this.delayed.push({ atMs: this.nowMs + this.commitDelayMs(), transaction: effect.transaction });
          return undefined;
        }
        return this.table.commit(effect.transaction);
      default:
        return undefined;
    }
  }
}

export const TOP_UP = { topUpId: 'first', amountMicros: 10_000 };

export function fleetOf(...names: string[]): { fleet: Fleet; nodes: Node[] } {
  const fleet = new Fleet();
  const nodes = names.map((name) => fleet.add(name));
  fleet.configure([TOP_UP]);
  fleet.run(50);
  return { fleet, nodes };
}

export function reserveOn(
  fleet: Fleet,
  node: Node,
  requestId: string,
  amountMicros: number,
): Reservation | undefined {
  const request = { requestId, organisationId: ORGANISATION, amountMicros, deadlineMs: fleet.nowMs + 400 };
  const started = fleet.start(node, reserve(node.context, request));
  fleet.run(410);
  return started.result?.isOk() === true ? started.result.value : undefined;
}

export const budgetOf = (fleet: Fleet): ReturnType<Fleet['table']['amounts']> =>
  fleet.table.amounts(`budget/${ORGANISATION}`);

export function routerState(fleet: Fleet, incarnationId: string): string {
  return (fleet.table.rows.get(`router/${incarnationId}`)?.value as { state: string }).state;
}

/** Removes a node's VM from the membership list. */
export function removeFromMembershipList(fleet: Fleet, node: Node): void {
  fleet.unlisted.add(node.core.board.identity.vmId);
}
