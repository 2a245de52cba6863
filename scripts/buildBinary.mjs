// Builds dist/pimentostall, a single executable application: a copy of the running Node.js with one CommonJS bundle.
import { execFileSync } from 'node:child_process';
import { chmodSync, copyFileSync, mkdirSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { build } from 'esbuild';
import { inject } from 'postject';

const DIST = 'dist';
const BUNDLE = path.join(DIST, 'pimentostall.cjs');
const BLOB = path.join(DIST, 'pimentostall.blob');
const SEA_CONFIGURATION = path.join(DIST, 'sea.json');
const BINARY = path.join(DIST, 'pimentostall');
// The fuse that Node.js documents for single executable applications.
const SEA_FUSE = 'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2';

mkdirSync(DIST, { recursive: true });
await build({
  entryPoints: ['packages/cli/src/main.ts'],
  outfile: BUNDLE,
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
const seaConfiguration = { main: BUNDLE, output: BLOB, disableExperimentalSEAWarning: true };
writeFileSync(SEA_CONFIGURATION, JSON.stringify(seaConfiguration));
execFileSync(process.execPath, ['--experimental-sea-config', SEA_CONFIGURATION], { stdio: 'inherit' });
rmSync(BINARY, { force: true });
copyFileSync(process.execPath, BINARY);
chmodSync(BINARY, 0o755);
await inject(BINARY, 'NODE_SEA_BLOB', readFileSync(BLOB), { sentinelFuse: SEA_FUSE });
process.stdout.write(`built ${BINARY}\n`);
