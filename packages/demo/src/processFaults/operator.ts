import type { RowWrite } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';
import { request } from 'undici';
import { budgetsTextWithLaterTopUps } from '../deployment/configurationRows.ts';
import { keySha256 } from '../deployment/organisations.ts';
import type { ScenarioSetup } from './types.ts';

const OPERATOR_KEY = 'key-of-the-operator';
const CHANGE_ID = 'later-top-ups';
const BASE_VERSION = 1;
const ATTEMPT_TIMEOUT_MS = 3_000;
const RETRY_WAIT_MS = 500;
const GIVE_UP_MS = 15_000;

/** The row that lets the operator of the scenarios change budgets. */
export function operatorRow(): RowWrite {
  const value = { operatorId: 'operator', sections: [SectionName.Budgets] };
  return { key: `operator/${keySha256(OPERATOR_KEY)}`, value };
}

/** Tops up through the administration API, as an operator does: repeats the change until it is accepted. */
export async function topUp(setup: ScenarioSetup): Promise<void> {
  const giveUpMs = Date.now() + GIVE_UP_MS;
  let answer = await putBudgets(setup, 0);
  for (let count = 1; answer === undefined && Date.now() < giveUpMs; count += 1) {
    await new Promise((resolve) => setTimeout(resolve, RETRY_WAIT_MS));
    answer = await putBudgets(setup, count);
  }
  if (answer === undefined) {
    throw new Error('the top-up was not accepted in time');
  }
  const atMs = Date.now();
  for (const { organisationId, laterTopUpMicros } of setup.organisations) {
    if (laterTopUpMicros > 0) {
      setup.addFunding({ organisationId, atMs, amountMicros: laterTopUpMicros });
    }
  }
  setup.progress('top-up accepted');
  // A repeated change must not add the money again; the auditor compares the funded amounts.
  await putBudgets(setup, 0);
}

/** One attempt at a router of the store's region; undefined unless the change was accepted. */
async function putBudgets(setup: ScenarioSetup, attempt: number): Promise<string | undefined> {
  const [storeRegion] = setup.plan.deployment.regions;
  const routers = setup.plan.routers.filter(({ region }) => region === storeRegion);
  const address = routers[attempt % routers.length]?.adminAddress ?? '';
  const query = `baseVersion=${BASE_VERSION}&changeId=${CHANGE_ID}`;
  try {
    const response = await request(`http://${address}/v1/config/sections/${SectionName.Budgets}?${query}`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/yaml' },
      body: budgetsTextWithLaterTopUps(setup.organisations),
      signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
    });
    const text = await response.body.text();
    setup.progress(`top-up at ${address}: ${response.statusCode}`);
    return response.statusCode === 200 ? text : undefined;
  } catch (error) {
    setup.progress(`top-up at ${address}: ${String(error)}`);
    return undefined;
  }
}
