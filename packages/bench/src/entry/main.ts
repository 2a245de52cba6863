import { measureEntry } from './measureEntry.ts';

const SEED = 1;
const SIZES = [
  { routerCount: 8, organisationCount: 10 },
  { routerCount: 350, organisationCount: 2_700 },
];

/** Enough to reach every router that the callers of an organisation use. */
const REQUESTS_PER_ORGANISATION = 400;

const entry = Object.fromEntries(
  SIZES.map((size) => [
    `routers${size.routerCount}`,
    measureEntry({ ...size, requests: REQUESTS_PER_ORGANISATION, seed: SEED }),
  ]),
);
console.log(`seed ${SEED}, ${REQUESTS_PER_ORGANISATION} requests for each organisation`);
console.log(JSON.stringify({ entry }));
