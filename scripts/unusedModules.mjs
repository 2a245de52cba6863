// Modules that the router's libraries load and the router does not use. Loading them takes processor time at each start,
// and all routers of a fleet may start at the same time.
import path from 'node:path';

/** What a module is replaced by, if a file whose path matches `importer` loads it. */
const REPLACEMENTS = [
  {
    // Upstreams, peers and the store speak HTTP/1.1 without TLS, and the client of HTTP/2 loads http2, tls and crypto.
    importer: /undici\/lib\/dispatcher\/client\.js$/,
    module: /client-h2\.js$/,
    contents: "module.exports = () => { throw new Error('HTTP/2 is not part of this bundle'); };",
  },
  {
    // The log is written by the main thread itself; transports run in threads.
    importer: /pino\/(pino|lib\/tools)\.js$/,
    module: /^\.\/(lib\/)?transport$/,
    contents: "module.exports = () => { throw new Error('transports are not part of this bundle'); };",
  },
  {
    // pino asks only whether it runs in the main thread, as the router does.
    importer: /pino\/lib\/tools\.js$/,
    module: /^worker_threads$/,
    contents: 'module.exports = { isMainThread: true };',
  },
  {
    // Histograms use typed arrays (`useWebAssembly` is false).
    importer: /hdr-histogram-js\/dist\/HistogramBuilder\.js$/,
    module: /^\.\/wasm$/,
    contents: 'module.exports = { webAssemblyAvailable: false };',
  },
];

const NAMESPACE = 'unused-module';

/** Plugin of esbuild that replaces the unused modules by stubs; fails the build if a library no longer loads one of them. */
export const replaceUnusedModules = {
  name: NAMESPACE,
  setup(build) {
    const found = new Set();
    build.onResolve({ filter: /./ }, ({ path: module, importer }) => {
      const importerPath = importer.split(path.sep).join('/');
      const index = REPLACEMENTS.findIndex(
        (replacement) => replacement.module.test(module) && replacement.importer.test(importerPath),
      );
      if (index === -1) {
        return undefined;
      }
      found.add(index);
      return { path: String(index), namespace: NAMESPACE };
    });
    build.onLoad({ filter: /./, namespace: NAMESPACE }, ({ path: index }) => ({
      contents: REPLACEMENTS[Number(index)].contents,
      loader: 'js',
    }));
    build.onEnd(() => ({
      errors: REPLACEMENTS.filter((_, index) => !found.has(index)).map(({ module, importer }) => ({
        text: `no file that matches ${importer} loads ${module}; correct scripts/unusedModules.mjs`,
      })),
    }));
  },
};
