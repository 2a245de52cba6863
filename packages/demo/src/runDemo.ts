import type { AuditSummary } from './auditor/audit.ts';
import { addSummaries, promisesHeld } from './auditor/audit.ts';
import type { ProcessGroup } from './fleet/processGroup.ts';
import { runWithProcesses } from './fleet/runWithProcesses.ts';
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
  const ended = await runWithProcesses<DemoEnd>(
    {
      folderPrefix: 'pimentostall-demo-',
      // Both places have a platform and a link, so each needs a group of its own.
      names: PLACES.map(({ name }) => name),
      limitMs: RUN_LIMIT_MS,
      print,
      succeeded: ({ exitCode }) => exitCode === 0,
    },
    runPlaces,
  );
  print(`the demo took ${Date.now() - startMs} ms`);
  print(ended?.lastLine ?? FAILED_LINE);
  return ended?.exitCode ?? 1;
}

async function runPlaces(groups: readonly ProcessGroup[]): Promise<DemoEnd> {
  const runs = PLACES.flatMap((place, index) => {
    const processes = groups[index];
    return processes === undefined ? [] : [runPlace(place, processes, print)];
  });
  return reportResults(await Promise.all(runs));
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
