import type { ProcessGroup, TableOperationCounts } from '@pimentostall/demo';
import { control, readPlatformAudit, runWithProcesses } from '@pimentostall/demo';
import type { BenchFleet } from './benchFleet.ts';
import { BENCH_ORGANISATION, planBenchFleet, startBenchFleet, TOKENS_PER_RESPONSE } from './benchFleet.ts';
import { cpuTimeMs } from './cpuTime.ts';
import { LoadGenerators } from './loadGenerators.ts';
import type { Load, LoadResult } from './loadTypes.ts';
import type { RouterBenchOptions } from './options.ts';
import { median, percentile, round } from './statistics.ts';

const BENCH_TIMEOUT_MS = 75_000;
const WARM_UP_MS = 2_000;
const CONNECTION_COUNT = 32;
const OUTAGE_MS = 2_000;
const OUTAGE_REQUESTS_PER_SECOND = 50;
/** Default usageCopyWaitMs: the delay of a response whose usage record has to wait for the store. */
const USAGE_COPY_WAIT_MS = 300;
/**
 * A covered request, one whose worst-case cost the share of the router covers, must not call the store. The bound allows
 * for background calls: a settlement page of up to 64 records needs one read and one commit.
 */
const MAX_STORE_CALLS_PER_REQUEST = 1 / 8;

enum Variant {
  Pipe = 'pipe',
  Router = 'router',
}

const VARIANTS = [Variant.Pipe, Variant.Router];

interface BenchContext {
  readonly processes: ProcessGroup;
  readonly fleet: BenchFleet;
  readonly options: RouterBenchOptions;
  readonly generators: LoadGenerators;
}

interface BenchFigures {
  readonly addedTtftP99Ms: number;
  readonly throughputRatio: number;
  readonly runs: number;
  readonly storeChecksPassed: boolean;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Compares the router with the pipe; the exit code is 1 if the run failed or covered requests depended on the store. */
export async function runRouterBench(options: RouterBenchOptions): Promise<number> {
  const figures = await runWithProcesses<BenchFigures>(
    {
      folderPrefix: 'pimentostall-bench-router-',
      names: ['bench'],
      limitMs: BENCH_TIMEOUT_MS,
      print,
      succeeded: ({ storeChecksPassed }) => storeChecksPassed,
    },
    async ([processes]) => {
      if (processes === undefined) {
        throw new Error('runWithProcesses provided no process group');
      }
      return measure(options, processes);
    },
  );
  const { storeChecksPassed = false, ...line } = figures ?? { addedTtftP99Ms: null, throughputRatio: null };
  print(JSON.stringify(line));
  return storeChecksPassed ? 0 : 1;
}

async function measure(options: RouterBenchOptions, processes: ProcessGroup): Promise<BenchFigures> {
  const fleet = planBenchFleet(options);
  await startBenchFleet(fleet, processes);
  const generators = new LoadGenerators();
  process.on('exit', () => {
    generators.stop();
  });
  try {
    const context = { fleet, options, generators, processes };
    for (const variant of VARIANTS) {
      await run(context, variant, { kind: 'closed', connectionCount: CONNECTION_COUNT }, WARM_UP_MS);
    }
    const before = await readPlatformAudit(fleet.plan.platformAddress);
    const throughput = await measureThroughput(context);
    const ttft = await measureTimeToFirstToken(context, throughput.routerPerSecond / 2);
    const after = await readPlatformAudit(fleet.plan.platformAddress);
    const storeCallsPassed = checkStoreCalls(
      before,
      after,
      throughput.routerResponseCount + ttft.routerResponseCount,
    );
    const outagePassed = await checkOutage(context);
    return {
      addedTtftP99Ms: ttft.addedTtftP99Ms,
      throughputRatio: throughput.ratio,
      runs: options.runs,
      storeChecksPassed: storeCallsPassed && outagePassed,
    };
  } finally {
    generators.stop();
  }
}

async function run(
  { fleet, generators }: BenchContext,
  variant: Variant,
  load: Load,
  durationMs: number,
): Promise<LoadResult> {
  const isRouter = variant === Variant.Router;
  const messages = [{ role: 'user', content: 'Write a letter.' }];
  const result = await generators.run({
    address: isRouter ? fleet.routerAddress : fleet.pipeAddress,
    bearerKey: BENCH_ORGANISATION.bearerKey,
    body: JSON.stringify({
      model: 'assistant-small',
      messages,
      max_tokens: TOKENS_PER_RESPONSE,
      stream: true,
    }),
    endMarker: isRouter ? 'data: [DONE]' : '"finish"',
    durationMs,
    load,
  });
  if (result.failed > 0) {
    print(`${variant}: ${result.failed} requests failed, besides ${result.answered} answers`);
  }
  return result;
}

function variantCpuTimeMs({ fleet, processes }: BenchContext, variant: Variant): number {
  const name = variant === Variant.Router ? (fleet.plan.routers[0]?.routerId ?? '') : 'pipe';
  return cpuTimeMs(processes.pidOf(name) ?? 0);
}

/** Alternates between the variants, so that changes of the machine's load affect both. */
async function measureThroughput(context: BenchContext) {
  const { runs, runMs } = context.options;
  const perSecond: Record<Variant, number[]> = { [Variant.Pipe]: [], [Variant.Router]: [] };
  const cpuMs: Record<Variant, number[]> = { [Variant.Pipe]: [], [Variant.Router]: [] };
  let routerResponseCount = 0;
  for (let count = 0; count < runs; count += 1) {
    for (const variant of VARIANTS) {
      const load: Load = { kind: 'closed', connectionCount: CONNECTION_COUNT };
      const cpuBeforeMs = variantCpuTimeMs(context, variant);
      const { answered, elapsedMs } = await run(context, variant, load, runMs);
      cpuMs[variant].push((variantCpuTimeMs(context, variant) - cpuBeforeMs) / answered);
      perSecond[variant].push((answered * 1_000) / elapsedMs);
      routerResponseCount += variant === Variant.Router ? answered : 0;
    }
  }
  const ratios = perSecond.router.map((value, index) => value / (perSecond.pipe[index] ?? NaN));
  const routerPerSecond = median(perSecond.router);
  print(
    `throughput (medians): pipe ${round(median(perSecond.pipe))} requests/s, router ${round(routerPerSecond)} ` +
      `requests/s of ${TOKENS_PER_RESPONSE} tokens; ratios ${ratios.map(round).join(', ')}`,
  );
  print(
    `CPU time per request (medians): pipe ${round(median(cpuMs.pipe))} ms, ` +
      `router ${round(median(cpuMs.router))} ms`,
  );
  return { routerPerSecond, ratio: round(median(ratios)), routerResponseCount };
}

async function measureTimeToFirstToken(context: BenchContext, requestsPerSecond: number) {
  const { runs, runMs } = context.options;
  const p99: Record<Variant, number[]> = { [Variant.Pipe]: [], [Variant.Router]: [] };
  const p50: Record<Variant, number[]> = { [Variant.Pipe]: [], [Variant.Router]: [] };
  let routerResponseCount = 0;
  for (let count = 0; count < runs; count += 1) {
    for (const variant of VARIANTS) {
      const result = await run(context, variant, { kind: 'open', requestsPerSecond }, runMs);
      p99[variant].push(percentile(result.firstTokenMs, 99));
      p50[variant].push(percentile(result.firstTokenMs, 50));
      routerResponseCount += variant === Variant.Router ? result.answered : 0;
    }
  }
  const differences = p99.router.map((value, index) => value - (p99.pipe[index] ?? NaN));
  const line = (variant: Variant) =>
    `${variant} p50 ${round(median(p50[variant]))} ms, p99 ${round(median(p99[variant]))} ms`;
  print(
    `first token at ${round(requestsPerSecond)} requests/s (medians): ${line(Variant.Pipe)}; ` +
      `${line(Variant.Router)}; added at p99 ${differences.map(round).join(', ')} ms`,
  );
  return { addedTtftP99Ms: round(median(differences)), routerResponseCount };
}

function checkStoreCalls(
  before: TableOperationCounts,
  after: TableOperationCounts,
  requestCount: number,
): boolean {
  const reads = after.reads - before.reads;
  const scans = after.scans - before.scans;
  const commits = after.commits - before.commits;
  const conflicts = after.conflicts - before.conflicts;
  print(
    `store calls during ${requestCount} covered requests: ${reads} reads, ${scans} scans, ${commits} commits, ` +
      `${conflicts} conflicts (background: settlement pages, draws, configuration polls)`,
  );
  return reads + scans + commits + conflicts < requestCount * MAX_STORE_CALLS_PER_REQUEST;
}

/** Takes the store down: a request that depends on the store would fail or be delayed. */
async function checkOutage(context: BenchContext): Promise<boolean> {
  const { platformAddress } = context.fleet.plan;
  await control(platformAddress, { down: true });
  const load: Load = { kind: 'open', requestsPerSecond: OUTAGE_REQUESTS_PER_SECOND };
  const { answered, failed, totalMs } = await run(context, Variant.Router, load, OUTAGE_MS);
  await control(platformAddress, { down: false });
  const medianMs = median(totalMs);
  print(
    `store down: ${answered} covered requests answered, ${failed} failed, median ${round(medianMs)} ms ` +
      'to the last byte',
  );
  return answered > 0 && failed === 0 && medianMs < USAGE_COPY_WAIT_MS;
}
