// Builds the router with the platform adapter, without dependencies: target/router.cjs, or the file that the first
// argument names. That file loads the bundle beside it (.bundle.js) with V8's code cache (.cache).
import { execFileSync } from 'node:child_process';
import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { replaceUnusedModules } from './unusedModules.mjs';

/** Arguments of Node in deploy/system.toml; V8 accepts a code cache only from a process with the same flags. */
const NODE_ARGUMENTS = ['--max-old-space-size=96', '--max-semi-space-size=4', '--liftoff-only'];

const scriptPath = (name) => fileURLToPath(new URL(name, import.meta.url));

const program = process.argv[2] ?? 'target/router.cjs';
const base = program.replace(/\.cjs$/, '');
const bundle = `${base}.bundle.js`;
const cache = `${base}.${process.version}-${process.arch}.cache`;

// A cache of an older bundle must not remain if the build ends early.
rmSync(cache, { force: true });
await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: bundle,
  bundle: true,
  // Starting a router takes processor time on each VM, also after a failure of all of them.
  alias: {
    undici: scriptPath('undiciCore.mjs'),
    'hdr-histogram-js': 'hdr-histogram-js/dist/HistogramBuilder.js',
  },
  plugins: [replaceUnusedModules],
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
await build({
  entryPoints: ['platform/src/loadBundle.ts'],
  outfile: program,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
execFileSync(process.execPath, [...NODE_ARGUMENTS, scriptPath('writeCodeCache.mjs'), bundle, cache], {
  stdio: 'inherit',
});
