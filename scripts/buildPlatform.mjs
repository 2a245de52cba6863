// Builds target/router.cjs: the router with the platform adapter, bundled into one file without dependencies.
import { build } from 'esbuild';

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/router.cjs',
  bundle: true,
  minify: true,
  keepNames: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  logLevel: 'warning',
});
