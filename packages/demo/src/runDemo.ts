import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import path from 'node:path';
import type { AuditSummary } from './auditor/audit.ts';
import { addSummaries, promisesHeld } from './auditor/audit.ts';
import { ProcessGroup } from './fleet/processGroup.ts';
import { PLACES } from './place/places.ts';
import { findingLines, refusalLines, slowestLines } from './report/findingLines.ts';
import { organisationTable } from './report/organisationTable.ts';
import type { PlaceResult } from './runPlace.ts';
import { runPlace } from './runPlace.ts';

/** The demo ends by itself within 60 s; the rest is left for stopping the processes. */
const RUN_LIMIT_MS = 54_000;

const EMPTY_SUMMARY: AuditSummary = {
  answered: 0,
  refused: 0,
  overspendMicros: 0,
  billedTwice: 0,
  ranTwice: 0,
  lost: 0,
  falseRefusals: 0,
  wrongAnswers: 0,
  untruthfulRefusals: 0,
  unexplainedCharges: 0,
  shareMismatches: 0,
};

interface DemoEnd {
  readonly exitCode: number;
  /** Printed last, after the processes have ended, so that scripts find it. */
  readonly lastLine: string;
}

const FAILED_LINE = JSON.stringify({ ...EMPTY_SUMMARY, promisesHeld: false, completed: false });

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Runs all places side by side and returns the exit code: 0 only if every place proves its promises. */
export async function runDemo(): Promise<number> {
  const startMs = Date.now();
  const folder = mkdtempSync(path.join(tmpdir(), 'pimentostall-demo-'));
  const groups = PLACES.map((place) => {
    // Both places have a platform and a link, so each needs a folder of its own.
    const placeFolder = path.join(folder, place.name);
    mkdirSync(placeFolder);
    return { place, processes: new ProcessGroup(placeFolder) };
  });
  // Also covers an uncaught error, after which no asynchronous cleanup runs.
  process.on('exit', () => {
    groups.forEach(({ processes }) => {
      processes.killAll();
    });
  });
  const ending = endSignal(RUN_LIMIT_MS);
  const runs = Promise.all(groups.map(({ place, processes }) => runPlace(place, processes, print)));
  let ended: DemoEnd = { exitCode: 1, lastLine: FAILED_LINE };
  try {
    const results = await Promise.race([runs, ending.reached]);
    ended = reportResults(results);
  } catch (error) {
    print(`the demo failed: ${error instanceof Error ? error.message : String(error)}`);
  } finally {
    ending.cancel();
    // A run that was given up may still fail after its processes are stopped.
    runs.catch(() => undefined);
    await Promise.all(groups.map(({ processes }) => processes.stopAll()));
    cleanUp(folder, ended.exitCode);
  }
  print(`the demo took ${Date.now() - startMs} ms`);
  print(ended.lastLine);
  return ended.exitCode;
}

function reportResults(results: readonly PlaceResult[]): DemoEnd {
  for (const result of results) {
    print(`\n${result.place.name}\n${organisationTable(result)}`);
    const { calls } = result.evidence;
    [...findingLines(result.report), ...refusalLines(calls), ...slowestLines(calls)].forEach(print);
  }
  const held = results.every(({ summary }) => promisesHeld(summary));
  const total = results.map(({ summary }) => summary).reduce(addSummaries, EMPTY_SUMMARY);
  const lastLine = JSON.stringify({ ...total, promisesHeld: held, completed: true });
  return { exitCode: held ? 0 : 1, lastLine };
}

/** Rejects at the time limit or at SIGINT or SIGTERM, so that the processes are always ended. */
function endSignal(limitMs: number): { readonly reached: Promise<never>; readonly cancel: () => void } {
  let cancel = (): void => undefined;
  const reached = new Promise<never>((_, reject) => {
    const timer = setTimeout(() => {
      reject(new Error(`the time limit of ${limitMs} ms was reached`));
    }, limitMs);
    const stop = (signal: NodeJS.Signals) => {
      reject(new Error(`stopped by ${signal}`));
    };
    process.on('SIGINT', stop);
    process.on('SIGTERM', stop);
    cancel = () => {
      clearTimeout(timer);
    };
  });
  return { reached, cancel };
}

/** Logs are kept after a failure. */
function cleanUp(folder: string, exitCode: number): void {
  if (exitCode === 0) {
    rmSync(folder, { recursive: true });
  } else {
    print(`settings and logs of the processes are in ${folder}`);
  }
}
