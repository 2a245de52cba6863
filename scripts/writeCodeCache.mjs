// Writes V8's code cache of a bundle: node FLAGS scripts/writeCodeCache.mjs BUNDLE CACHE. V8 accepts a cache only from a
// process with the same flags, so that they have to be those of the router.
import { readFileSync, renameSync, writeFileSync } from 'node:fs';
import { setFlagsFromString } from 'node:v8';
import { Script } from 'node:vm';

const [bundle, cache] = process.argv.slice(2);
const source = readFileSync(bundle, 'utf8');
// Functions are compiled now instead of at their first call in the router.
setFlagsFromString('--no-lazy');
const script = new Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, {
  filename: bundle,
});
// The flags are part of the cache.
setFlagsFromString('--lazy');
writeFileSync(`${cache}.new`, script.createCachedData());
renameSync(`${cache}.new`, cache);
