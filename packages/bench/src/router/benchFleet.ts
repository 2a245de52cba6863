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

/** Third octet of the loopback addresses; differs from those of the demo and of the process faults. */
const LOOPBACK_OCTET = 50;
const DEMO_BASE_PORT = 18_000;
const ENGINE_COUNT = 3;
const PIPE_PORT_OFFSET = 900;
const START_TIMEOUT_MS = 15_000;
/** Output tokens of each response; the average at the target size is 405. */
export const TOKENS_PER_RESPONSE = 128;
/** Far more than all requests of a run cost. */
const TOP_UP_MICROS = 1_000_000_000_000;
/** Exceeds the concurrency of the benchmark, so that no request is queued for an engine. */
const MAX_CONCURRENT = 256;

export const BENCH_ORGANISATION: DemoOrganisation = {
  organisationId: 'bench',
  bearerKey: 'key-of-bench',
  entryWeight: 1,
  firstTopUpMicros: TOP_UP_MICROS,
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
    octet: LOOPBACK_OCTET,
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

/** Starts the platform, the engines, the pipe and the routers; waits until the platform and the routers are ready. */
export async function startBenchFleet(
  { plan, pipeAddress }: BenchFleet,
  processes: ProcessGroup,
): Promise<void> {
  const deadlineMs = Date.now() + START_TIMEOUT_MS;
  standInPlans(plan)
    .filter(({ name }) => name === 'platform')
    .forEach((standIn) => {
      processes.start(standIn);
    });
  const engines = plan.engines.map(({ address }) => address);
  for (const [index, address] of engines.entries()) {
    const args = ['packages/bench/src/router/engineProcess.ts', address, String(TOKENS_PER_RESPONSE)];
    processes.startScript(`engine-${index + 1}`, args);
  }
  processes.startScript('pipe', ['packages/bench/src/router/pipeProcess.ts', pipeAddress, ...engines]);
  if (!(await waitForStandIn(plan.platformAddress, deadlineMs))) {
    throw new Error('the platform was not ready before the start timeout');
  }
  const document = configurationDocument(plan, [BENCH_ORGANISATION]);
  const rules = document.rules.map((rule) => ({ ...rule, maxOutputTokens: TOKENS_PER_RESPONSE }));
  const benchEngines = document.engines.map((engine) => ({ ...engine, maxConcurrent: MAX_CONCURRENT }));
  await writeRows(
    plan.platformAddress,
    initialRows({ ...document, rules, engines: benchEngines }, Date.now()),
  );
  for (const router of routerPlans(plan)) {
    processes.start(withDefaultOptions(router));
  }
  if (!(await waitForRouters(plan, [BENCH_ORGANISATION], deadlineMs))) {
    throw new Error(
      `the routers were not ready before the start timeout; exited processes: ${processes.ended().join(', ') || 'none'}`,
    );
  }
}

/** Replaces the shortened intervals of the demo by the default options of the router. */
function withDefaultOptions(plan: ProcessPlan): ProcessPlan {
  return { ...plan, settings: { ...(plan.settings as Record<string, unknown>), options: {} } };
}
