import type { Effect, SectionName } from '@pimentostall/core';
import { EffectKind, EventKind } from '@pimentostall/core';
import { OPERATOR_KEY_SHA256 } from './fleet.ts';
import type { Simulation } from './simulation.ts';

const RETRY_DELAY_MS = 1_500;
const ANSWER_TIMEOUT_MS = 6_000;
const MAX_TRIES = 12;
const OK_STATUS = 200;
const CONFLICT_STATUS = 409;

/** Change of a section by an operator, retried with the same change id until its outcome is known. */
export interface ConfigurationChange {
  readonly section: SectionName;
  readonly text: string;
  readonly baseVersion: number;
  readonly changeId: string;
  accepted: boolean;
  conflicted: boolean;
  revision: number;
  tries: number;
}

export interface ConfigurationChangeSetup {
  readonly section: SectionName;
  readonly text: string;
  readonly baseVersion: number;
  readonly changeId: string;
  readonly firstHost: number;
}

export function startConfigurationChange(
  simulation: Simulation,
  setup: ConfigurationChangeSetup,
): ConfigurationChange {
  const change: ConfigurationChange = { ...setup, accepted: false, conflicted: false, revision: 0, tries: 0 };
  sendChange(simulation, change, setup.firstHost);
  return change;
}

function sendChange(simulation: Simulation, change: ConfigurationChange, hostIndex: number): void {
  const host = simulation.hosts[hostIndex % simulation.hosts.length];
  if (host === undefined || change.tries >= MAX_TRIES) {
    return;
  }
  change.tries += 1;
  let ended = false;
  const retry = (): void => {
    if (!ended) {
      ended = true;
      simulation.schedule(RETRY_DELAY_MS, () => {
        sendChange(simulation, change, hostIndex + 1);
      });
    }
  };
  const onEffect = (effect: Effect): void => {
    if (effect.kind !== EffectKind.AdminReply || ended) {
      return;
    }
    if (effect.status !== OK_STATUS && effect.status !== CONFLICT_STATUS) {
      retry();
      return;
    }
    ended = true;
    change.accepted = effect.status === OK_STATUS;
    change.conflicted = effect.status === CONFLICT_STATUS;
    change.revision = change.accepted ? (JSON.parse(effect.body) as { revision: number }).revision : 0;
  };
  const exchangeId = simulation.openExchange(host, { onEffect, onConnectionBroken: retry });
  if (exchangeId === undefined) {
    retry();
    return;
  }
  const request = {
    method: 'PUT',
    path: `/v1/config/sections/${change.section}`,
    query: { baseVersion: String(change.baseVersion), changeId: change.changeId },
    body: change.text,
    keySha256: OPERATOR_KEY_SHA256,
  };
  simulation.deliver(host, { kind: EventKind.AdminArrived, exchangeId, request }, 1);
  simulation.schedule(ANSWER_TIMEOUT_MS, retry);
}
