// Builds the router with the platform adapter, bundled into one file without dependencies: target/router.cjs, or the
// file that the first argument names.
import { fileURLToPath } from 'node:url';
import { build } from 'esbuild';
import { replaceUnusedModules } from './unusedModules.mjs';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: process.argv[2] ?? 'target/router.cjs',
  bundle: true,
  // Starting a router takes processor time on each VM, also after a failure of all of them.
  alias: {
    undici: fileURLToPath(new URL('undiciCore.mjs', import.meta.url)),
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
