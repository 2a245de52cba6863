import type { RowWrite } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';
import { request } from 'undici';
import { budgetsTextWithLaterTopUps } from '../deployment/configurationRows.ts';
import { keySha256 } from '../deployment/organisations.ts';
import type { ScenarioContext } from './types.ts';

const OPERATOR_KEY = 'key-of-the-operator';
const CHANGE_ID = 'later-top-ups';
const BASE_VERSION = 1;
const ATTEMPT_TIMEOUT_MS = 3_000;
const RETRY_WAIT_MS = 500;
const TOP_UP_TIMEOUT_MS = 15_000;

/** The row that authorises the operator of the scenarios to change budgets. */
export function createOperatorRow(): RowWrite {
  const value = { operatorId: 'operator', sections: [SectionName.Budgets] };
  return { key: `operator/${keySha256(OPERATOR_KEY)}`, value };
}

/** Tops up through the administration API and, as an operator would, retries the change until it is accepted. */
export async function topUp(context: ScenarioContext): Promise<void> {
  const retryUntilMs = Date.now() + TOP_UP_TIMEOUT_MS;
  let response = await putBudgets(context, 0);
  for (let count = 1; response === undefined && Date.now() < retryUntilMs; count += 1) {
    await new Promise((resolve) => setTimeout(resolve, RETRY_WAIT_MS));
    response = await putBudgets(context, count);
  }
  if (response === undefined) {
    throw new Error('the top-up was not accepted in time');
  }
  const atMs = Date.now();
  for (const { organisationId, laterTopUpMicros } of context.organisations) {
    if (laterTopUpMicros > 0) {
      context.addFunding({ organisationId, atMs, amountMicros: laterTopUpMicros });
    }
  }
  context.progress('top-up accepted');
  // Repeats the change, which must not add the money again. The audit compares the funded amounts.
  await putBudgets(context, 0);
}

/** Sends the change to a router in the store's region; returns undefined unless it was accepted. */
async function putBudgets(context: ScenarioContext, attempt: number): Promise<string | undefined> {
  const [storeRegion] = context.plan.deployment.regions;
  const routers = context.plan.routers.filter(({ region }) => region === storeRegion);
  const address = routers[attempt % routers.length]?.adminAddress ?? '';
  const query = `baseVersion=${BASE_VERSION}&changeId=${CHANGE_ID}`;
  try {
    const response = await request(`http://${address}/v1/config/sections/${SectionName.Budgets}?${query}`, {
      method: 'PUT',
      headers: { authorization: `Bearer ${OPERATOR_KEY}`, 'content-type': 'application/yaml' },
      body: budgetsTextWithLaterTopUps(context.organisations),
      signal: AbortSignal.timeout(ATTEMPT_TIMEOUT_MS),
    });
    const text = await response.body.text();
    context.progress(`top-up at ${address}: ${response.statusCode}`);
    return response.statusCode === 200 ? text : undefined;
  } catch (error) {
    context.progress(`top-up at ${address}: ${String(error)}`);
    return undefined;
  }
}
