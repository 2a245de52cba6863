import { measureBills } from './measureBills.ts';
import { measureConfiguration } from './measureConfiguration.ts';
import { measureCopies } from './measureCopies.ts';
import { measureEntry } from './measureEntry.ts';
import { measureHistograms } from './measureHistograms.ts';
import { measureLedger } from './measureLedger.ts';
import { measureMembership } from './measureMembership.ts';
import { measureQueries } from './measureQueries.ts';
import { measureRequests } from './measureRequests.ts';
import { measureRouting } from './measureRouting.ts';
import { measureSettlement } from './measureSettlement.ts';
import { measureTransport } from './measureTransport.ts';
import type { SlopeOptions } from './options.ts';
import type { Series } from './series.ts';

/** Runs all measurements sequentially, so that they do not affect each other. */
export async function runSlopes(
  options: SlopeOptions,
  progress: (name: string) => void,
): Promise<readonly Series[]> {
  const measurements: Record<string, (each: SlopeOptions) => Series[] | Promise<Series[]>> = {
    membership: measureMembership,
    transport: measureTransport,
    entry: measureEntry,
    ledger: measureLedger,
    settlement: measureSettlement,
    bills: measureBills,
    copies: measureCopies,
    queries: measureQueries,
    configuration: measureConfiguration,
    routing: measureRouting,
    requests: measureRequests,
    histograms: measureHistograms,
  };
  const all: Series[] = [];
  for (const [name, measure] of Object.entries(measurements)) {
    progress(name);
    all.push(...(await measure(options)));
  }
  return all;
}
