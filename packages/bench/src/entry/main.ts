import { measureEntry } from './measureEntry.ts';

const SEED = 1;
const SIZES = [
  { routerCount: 8, organisationCount: 10 },
  { routerCount: 350, organisationCount: 2_700 },
];

/** Requests for each organisation; enough to reach every router that its callers use. */
const REQUESTS = 400;

const entry = Object.fromEntries(
  SIZES.map((size) => [
    `routers${size.routerCount}`,
    measureEntry({ ...size, requests: REQUESTS, seed: SEED }),
  ]),
);
console.log(`seed ${SEED}, ${REQUESTS} requests for each organisation`);
console.log(JSON.stringify({ entry }));
