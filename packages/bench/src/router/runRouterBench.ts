import type { ProcessGroup, TableOperationCounts } from '@pimentostall/demo';
import { control, readPlatformAudit, runWithProcesses } from '@pimentostall/demo';
import type { BenchFleet } from './benchFleet.ts';
import { ORGANISATION, planBenchFleet, startBenchFleet, TOKENS_PER_ANSWER } from './benchFleet.ts';
import { cpuTimeMs } from './cpuTime.ts';
import { LoadGenerators } from './loadGenerators.ts';
import type { Load, LoadResult } from './loadTypes.ts';
import type { RouterBenchOptions } from './options.ts';
import { median, percentile, round } from './statistics.ts';

const LIMIT_MS = 75_000;
const WARM_UP_MS = 2_000;
const CONNECTIONS = 32;
const OUTAGE_MS = 2_000;
const OUTAGE_REQUESTS_PER_SECOND = 50;
/** An answer whose usage record waits for the store is held back for this long, the default usageCopyWaitMs. */
const USAGE_WAIT_MS = 300;
/** A covered request must not read or write; settlement pages of 64 records need a read and a commit each. */
const MAX_CALLS_PER_REQUEST = 1 / 8;

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
  readonly storeCheckPassed: boolean;
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Measures the router against the pipe; the exit code is 1 if the run failed or a covered request used the store. */
export async function runRouterBench(options: RouterBenchOptions): Promise<number> {
  const figures = await runWithProcesses<BenchFigures>(
    {
      folderPrefix: 'pimentostall-bench-router-',
      names: ['bench'],
      limitMs: LIMIT_MS,
      print,
      succeeded: ({ storeCheckPassed }) => storeCheckPassed,
    },
    async ([processes]) => {
      if (processes === undefined) {
        throw new Error('no process group');
      }
      return measure(options, processes);
    },
  );
  const { storeCheckPassed = false, ...line } = figures ?? { addedTtftP99Ms: null, throughputRatio: null };
  print(JSON.stringify(line));
  return storeCheckPassed ? 0 : 1;
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
      await run(context, variant, { kind: 'closed', connectionCount: CONNECTIONS }, WARM_UP_MS);
    }
    const before = await readPlatformAudit(fleet.plan.platformAddress);
    const throughput = await measureThroughput(context);
    const ttft = await measureFirstToken(context, throughput.routerPerSecond / 2);
    const after = await readPlatformAudit(fleet.plan.platformAddress);
    const countsPassed = reportStoreCalls(before, after, throughput.routerAnswers + ttft.routerAnswers);
    const outagePassed = await checkOutage(context);
    return {
      addedTtftP99Ms: ttft.addedTtftP99Ms,
      throughputRatio: throughput.ratio,
      runs: options.runs,
      storeCheckPassed: countsPassed && outagePassed,
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
    bearerKey: ORGANISATION.bearerKey,
    body: JSON.stringify({
      model: 'assistant-small',
      messages,
      max_tokens: TOKENS_PER_ANSWER,
      stream: true,
    }),
    endMark: isRouter ? 'data: [DONE]' : '"finish"',
    durationMs,
    load,
  });
  if (result.failed > 0) {
    print(`${variant}: ${result.failed} requests failed beside ${result.answered} answers`);
  }
  return result;
}

function cpuOf({ fleet, processes }: BenchContext, variant: Variant): number {
  const name = variant === Variant.Router ? (fleet.plan.routers[0]?.routerId ?? '') : 'pipe';
  return cpuTimeMs(processes.pidOf(name) ?? 0);
}

/** Runs both variants one after the other, so that a change of the machine's load meets both. */
async function measureThroughput(context: BenchContext) {
  const { runs, runMs } = context.options;
  const perSecond: Record<Variant, number[]> = { [Variant.Pipe]: [], [Variant.Router]: [] };
  const cpuMs: Record<Variant, number[]> = { [Variant.Pipe]: [], [Variant.Router]: [] };
  let routerAnswers = 0;
  for (let count = 0; count < runs; count += 1) {
    for (const variant of VARIANTS) {
      const load: Load = { kind: 'closed', connectionCount: CONNECTIONS };
      const cpuBeforeMs = cpuOf(context, variant);
      const { answered, elapsedMs } = await run(context, variant, load, runMs);
      cpuMs[variant].push((cpuOf(context, variant) - cpuBeforeMs) / answered);
      perSecond[variant].push((answered * 1_000) / elapsedMs);
      routerAnswers += variant === Variant.Router ? answered : 0;
    }
  }
  const ratios = perSecond.router.map((value, index) => value / (perSecond.pipe[index] ?? NaN));
  const routerPerSecond = median(perSecond.router);
  print(
    `throughput (medians): pipe ${round(median(perSecond.pipe))} requests/s, router ${round(routerPerSecond)} ` +
      `requests/s of ${TOKENS_PER_ANSWER} tokens; ratios ${ratios.map(round).join(', ')}`,
  );
  print(
    `processor time for a request (medians): pipe ${round(median(cpuMs.pipe))} ms, ` +
      `router ${round(median(cpuMs.router))} ms`,
  );
  return { routerPerSecond, ratio: round(median(ratios)), routerAnswers };
}

async function measureFirstToken(context: BenchContext, requestsPerSecond: number) {
  const { runs, runMs } = context.options;
  const p99: Record<Variant, number[]> = { [Variant.Pipe]: [], [Variant.Router]: [] };
  const p50: Record<Variant, number[]> = { [Variant.Pipe]: [], [Variant.Router]: [] };
  let routerAnswers = 0;
  for (let count = 0; count < runs; count += 1) {
    for (const variant of VARIANTS) {
      const result = await run(context, variant, { kind: 'open', requestsPerSecond }, runMs);
      p99[variant].push(percentile(result.firstTokenMs, 99));
      p50[variant].push(percentile(result.firstTokenMs, 50));
      routerAnswers += variant === Variant.Router ? result.answered : 0;
    }
  }
  const differences = p99.router.map((value, index) => value - (p99.pipe[index] ?? NaN));
  const line = (variant: Variant) =>
    `${variant} p50 ${round(median(p50[variant]))} ms, p99 ${round(median(p99[variant]))} ms`;
  print(
    `first token at ${round(requestsPerSecond)} requests/s (medians): ${line(Variant.Pipe)}; ` +
      `${line(Variant.Router)}; added at p99 ${differences.map(round).join(', ')} ms`,
  );
  return { addedTtftP99Ms: round(median(differences)), routerAnswers };
}

function reportStoreCalls(
  before: TableOperationCounts,
  after: TableOperationCounts,
  answers: number,
): boolean {
  const reads = after.reads - before.reads;
  const scans = after.scans - before.scans;
  const commits = after.commits - before.commits;
  const conflicts = after.conflicts - before.conflicts;
  print(
    `store calls beside ${answers} covered requests: ${reads} reads, ${scans} scans, ${commits} commits, ` +
      `${conflicts} conflicts (background: settlement pages, draws, configuration polls)`,
  );
  return reads + scans + commits + conflicts < answers * MAX_CALLS_PER_REQUEST;
}

/** With the store down, a request that needed it on its path could not be answered. */
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
  return answered > 0 && failed === 0 && medianMs < USAGE_WAIT_MS;
}
