// Runs every test file under packages/ with node:test. Tests named in KNOWN-RED.txt are run separately:
// they are printed, and their failure does not change the verdict.
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import path from 'node:path';

const KNOWN_RED_FILE = 'KNOWN-RED.txt';

/** Lists test files below a folder, sorted so that every run has the same order. */
function listTestFiles(folder) {
  const entries = readdirSync(folder, { withFileTypes: true }).sort((a, b) => a.name.localeCompare(b.name));
  return entries.flatMap((entry) => {
    const child = path.join(folder, entry.name);
    if (entry.isDirectory()) {
      return entry.name === 'node_modules' ? [] : listTestFiles(child);
    }
    return child.includes('__tests__') && child.endsWith('.test.ts') ? [child] : [];
  });
}

/** Reads the names of the tests that are known to fail: lines of the form `test: NAME`. */
function readKnownRed() {
  if (!existsSync(KNOWN_RED_FILE)) {
    return [];
  }
  return readFileSync(KNOWN_RED_FILE, 'utf8')
    .split('\n')
    .filter((line) => line.startsWith('test: '))
    .map((line) => line.slice('test: '.length).trim());
}

function escapeForPattern(name) {
  return name.replace(/[.*+?^${}()|[\]\\/]/g, '\\$&');
}

function runNodeTest(files, extraArguments) {
  const result = spawnSync(
    process.execPath,
    ['--import', 'tsx', '--test', '--test-reporter=spec', ...extraArguments, ...files],
    { stdio: 'inherit' },
  );
  return result.status ?? 1;
}

const filters = process.argv.slice(2);
const files = listTestFiles('packages').filter(
  (file) => filters.length === 0 || filters.some((filter) => file.includes(filter)),
);
const knownRed = readKnownRed();
for (const name of knownRed) {
  console.log(`known red, passed over: ${name}`);
}
// Node.js 20 has no --test-skip-pattern, so the tests read the names from the environment (see
// packages/core/src/__tests__/knownRed.ts).
process.env.PIMENTOSTALL_KNOWN_RED = JSON.stringify(knownRed);
process.exitCode = runNodeTest(files, []);
