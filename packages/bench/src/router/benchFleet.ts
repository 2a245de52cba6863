import type { DemoOrganisation, FleetPlan, ProcessGroup, ProcessPlan } from '@pimentostall/demo';
import {
  configurationDocument,
  initialRows,
  planFleet,
  routerPlans,
  standInPlans,
  waitForRouters,
  waitForStandIn,
  writeRows,
  zone,
} from '@pimentostall/demo';
import type { RouterBenchOptions } from './options.ts';

/** Outside the octets of the demo and of the process faults. */
const OCTET = 50;
const DEMO_BASE_PORT = 18_000;
const ENGINE_COUNT = 3;
const PIPE_PORT_OFFSET = 900;
const START_LIMIT_MS = 15_000;
/** Tokens of one answer; the target size has 405 on average. */
export const TOKENS_PER_ANSWER = 128;
const AMPLE_MICROS = 1_000_000_000_000;
/** Above what the bench opens at the same time, so that no request waits for an engine. */
const MAX_CONCURRENT = 256;

export const ORGANISATION: DemoOrganisation = {
  organisationId: 'bench',
  bearerKey: 'key-of-bench',
  entryWeight: 1,
  firstTopUpMicros: AMPLE_MICROS,
  laterTopUpMicros: 0,
  callerCount: 0,
};

export interface BenchFleet {
  readonly plan: FleetPlan;
  readonly routerAddress: string;
  readonly pipeAddress: string;
}

export function planBenchFleet({ basePort, peerCount }: RouterBenchOptions): BenchFleet {
  const plan = planFleet({
    name: 'bench',
    octet: OCTET,
    portOffset: basePort - DEMO_BASE_PORT,
    regions: ['near', 'far'],
    zones: [zone('near', 'a', [1, ENGINE_COUNT, 1]), zone('near', 'b', [peerCount, 0, 0])],
    modelServiceId: 'assistant',
    model: 'assistant-small',
    plainServiceId: 'orders',
    orderPath: '/orders',
    lookupPath: '/stock',
    honoursKey: false,
    linkDelayMs: 0,
  });
  const [host = ''] = plan.platformAddress.split(':');
  const routerAddress = plan.routers[0]?.callerAddress ?? '';
  return { plan, routerAddress, pipeAddress: `${host}:${basePort + PIPE_PORT_OFFSET}` };
}

/** Starts platform, engines, routers and pipe, and waits until all answer. */
export async function startBenchFleet(
  { plan, pipeAddress }: BenchFleet,
  processes: ProcessGroup,
): Promise<void> {
  const deadlineMs = Date.now() + START_LIMIT_MS;
  standInPlans(plan)
    .filter(({ name }) => name === 'platform')
    .forEach((standIn) => {
      processes.start(standIn);
    });
  const engines = plan.engines.map(({ address }) => address);
  for (const [index, address] of engines.entries()) {
    const args = ['packages/bench/src/router/engineProcess.ts', address, String(TOKENS_PER_ANSWER)];
    processes.startScript(`engine-${index + 1}`, args);
  }
  processes.startScript('pipe', ['packages/bench/src/router/pipeProcess.ts', pipeAddress, ...engines]);
  if (!(await waitForStandIn(plan.platformAddress, deadlineMs))) {
    throw new Error('the platform is not ready in time');
  }
  const document = configurationDocument(plan, [ORGANISATION]);
  const rules = document.rules.map((rule) => ({ ...rule, maxOutputTokens: TOKENS_PER_ANSWER }));
  const benchEngines = document.engines.map((engine) => ({ ...engine, maxConcurrent: MAX_CONCURRENT }));
  await writeRows(
    plan.platformAddress,
    initialRows({ ...document, rules, engines: benchEngines }, Date.now()),
  );
  for (const router of routerPlans(plan)) {
    processes.start(withDefaultOptions(router));
  }
  if (!(await waitForRouters(plan, [ORGANISATION], deadlineMs))) {
    throw new Error(`the routers are not ready in time; ended: ${processes.ended().join(', ') || 'none'}`);
  }
}

/** The router runs with its default options, not with the short ones of the demo. */
function withDefaultOptions(plan: ProcessPlan): ProcessPlan {
  return { ...plan, settings: { ...(plan.settings as Record<string, unknown>), options: {} } };
}
