// Runs the test files under packages/ and platform/ with node:test; with arguments, only those whose path contains one.
// Crowd tests run after all others, one at a time, since they measure the memory of a router under load.
// Tests that are listed in KNOWN-RED.txt run and are printed, but do not change the exit code if they fail.
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const TEST_NAME_PREFIX = 'test: ';
const CROWD_SUFFIX = '.crowd.test.ts';

/** Lists the test files below a folder, sorted so that all runs have the same order. */
function listTestFiles(folder) {
  const entries = readdirSync(folder, { withFileTypes: true }).sort((a, b) => a.name.localeCompare(b.name));
  return entries.flatMap((entry) => {
    const child = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return entry.name === 'node_modules' ? [] : listTestFiles(child);
    }
    return child.includes('__tests__') && child.endsWith('.test.ts') ? [path.resolve(child)] : [];
  });
}

/** Reads the names of the tests that are known to fail, from lines of the form `test: NAME`. */
function readKnownFailures() {
  if (!existsSync(KNOWN_FAILURES_FILE)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_FAILURES_FILE, 'utf8').split('\n');
  const names = lines.filter((line) => line.startsWith(TEST_NAME_PREFIX));
  return new Set(names.map((line) => line.slice(TEST_NAME_PREFIX.length).trim()));
}

const filters = process.argv.slice(2);
const files = ['packages', 'platform']
  .flatMap(listTestFiles)
  .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)));
const knownFailures = readKnownFailures();
const failedNames = [];
const passedNames = new Set();

/** Runs test files, prints their results and records the names of the tests that passed and failed. */
function runFiles(selected, concurrency) {
  return new Promise((resolve) => {
    if (selected.length === 0) {
      resolve();
      return;
    }
    const events = run({ files: selected, concurrency });
    events.on('test:pass', ({ name }) => passedNames.add(name));
    events.on('test:fail', ({ name, details, todo }) => {
      // A suite that fails only because of its subtests is not counted; the failed subtests are.
      if (todo === undefined && details.error?.failureType !== 'subtestsFailed') {
        failedNames.push(name);
      }
    });
    events.compose(new spec()).pipe(process.stdout, { end: false });
    events.on('end', resolve);
  });
}

const isCrowdTest = (file) => file.endsWith(CROWD_SUFFIX);
await runFiles(
  files.filter((file) => !isCrowdTest(file)),
  true,
);
await runFiles(files.filter(isCrowdTest), false);

const unexpectedFailures = failedNames.filter((name) => !knownFailures.has(name));
for (const name of knownFailures) {
  const result = failedNames.includes(name)
    ? 'failed as listed'
    : passedNames.has(name)
      ? 'passed'
      : 'not found';
  process.stdout.write(`known failure (${KNOWN_FAILURES_FILE}): ${name}: ${result}\n`);
}
process.exitCode = unexpectedFailures.length > 0 || passedNames.size === 0 ? 1 : 0;
