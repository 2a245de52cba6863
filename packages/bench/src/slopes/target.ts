/** Target size of section 1.7 of the design page. */
export const TARGET = {
  routers: 350,
  regions: 2,
  engines: 600,
  requestsPerSecond: 1_900,
  tokensPerSecond: 770_000,
  budgets: 82_000,
  organisations: 2_700,
  models: 16,
  configurationChangesPerDay: 690,
} as const;

export const ROUTERS_PER_REGION = TARGET.routers / TARGET.regions;
export const REQUESTS_PER_ROUTER = TARGET.requestsPerSecond / TARGET.routers;
export const TOKENS_PER_ROUTER = TARGET.tokensPerSecond / TARGET.routers;
export const TOKENS_PER_REQUEST = Math.round(TARGET.tokensPerSecond / TARGET.requestsPerSecond);
/** Routers of each region in an entry answer for an organisation of weight 1. */
export const ENTRY_REPLICAS = 2;
/** Average number of continuously active organisations of which a router holds a budget share. */
export const ORGANISATIONS_PER_ROUTER = Math.round(
  (TARGET.organisations * ENTRY_REPLICAS * TARGET.regions) / TARGET.routers,
);
