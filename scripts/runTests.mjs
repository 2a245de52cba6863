// Runs every test file under packages/ with node:test (optionally only those whose path contains an argument).
// Tests named in KNOWN-RED.txt run and are printed, but their failure does not change the verdict.
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { run } from 'node:test';
import { spec } from 'node:test/reporters';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';
const KNOWN_RED_PREFIX = 'test: ';

/** Lists test files below a folder, sorted so that every run has the same order. */
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

/** Reads the names of the tests that are known to fail: lines of the form `test: NAME`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return new Set();
  }
  const lines = readFileSync(KNOWN_RED_FILE, 'utf8').split('\n');
  const names = lines.filter((line) => line.startsWith(KNOWN_RED_PREFIX));
  return new Set(names.map((line) => line.slice(KNOWN_RED_PREFIX.length).trim()));
}

const filters = process.argv.slice(2);
const files = ['packages', 'platform']
  .flatMap(listTestFiles)
  .filter((file) => filters.length === 0 || filters.some((filter) => file.includes(filter)));
const knownRed = readKnownRed();
const failedNames = [];
const passedNames = new Set();

const events = run({ files, concurrency: true });
events.on('test:pass', ({ name }) => passedNames.add(name));
events.on('test:fail', ({ name, details, todo }) => {
  // A parent fails because of its children, which are counted themselves.
  if (todo === undefined && details.error?.failureType !== 'subtestsFailed') {
    failedNames.push(name);
  }
});
events.compose(new spec()).pipe(process.stdout);
events.on('end', () => {
  const unexpected = failedNames.filter((name) => !knownRed.has(name));
  for (const name of knownRed) {
    const seen = failedNames.includes(name)
      ? 'failed as listed'
      : passedNames.has(name)
        ? 'passed'
        : 'not found';
    process.stdout.write(`known red (${KNOWN_RED_FILE}): ${name}: ${seen}\n`);
  }
  process.exitCode = unexpected.length > 0 || passedNames.size === 0 ? 1 : 0;
});
