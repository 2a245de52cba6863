import type { CoreContext } from '../context.ts';
import { shareLevels } from '../money/shareLevels.ts';
import type { Task } from '../scheduler/task.ts';
import { readRows, scanRows } from '../table/tableCalls.ts';
import type { JsonValue } from '../types/table.ts';
import { Verdict } from '../types/verdict.ts';
import type { AdminReply } from './adminReply.ts';
import { accepted, notFound, storeUnavailable } from './adminReply.ts';
import { readConfigurationSnapshot } from './readStoredConfiguration.ts';
import { encodeSection, objectValue } from './storedRows.ts';

/** Returns the stored configuration, or this router's active one if the store does not reply. */
export function* viewConfiguration(context: CoreContext): Task<AdminReply> {
  const snapshot = yield* readConfigurationSnapshot(context);
  const stored = snapshot?.stored ?? context.board.configuration?.stored;
  if (stored === undefined) {
    return storeUnavailable(Verdict.DidNotRun, 'No configuration is known here yet. Try again later.');
  }
  const sections = stored.sections.map((section) => ({
    name: section.name,
    ...asObject(encodeSection(section)),
  }));
  return accepted({ revision: stored.revision, sections });
}

/** Returns the state of this router and of the peers it knows. */
export function viewStatus(context: CoreContext): AdminReply {
  const { board, clock } = context;
  const peers = [...board.membership.peers.values()].map((peer) => ({
    routerId: peer.sender.routerId,
    incarnationId: peer.sender.incarnationId,
    region: peer.sender.region,
    state: peer.state,
    revision: peer.configurationRevision,
    openRequestCount: peer.openRequestCount,
    silentForMs: clock.monotonicMs - peer.heardAtMs,
  }));
  return accepted({
    routerId: board.identity.routerId,
    incarnationId: board.incarnationId,
    region: board.identity.region,
    state: board.routerState,
    confirmation: board.incarnationStatus,
    revision: board.configuration?.revision ?? 0,
    rejectedRevision: board.rejectedRevision,
    openRequestCount: board.requests.running.size,
    shareLevels: shareLevels(context).map((level) => ({ ...level })),
    peers,
  });
}

/** Returns the budget row and the share rows of an organisation. */
export function* viewBudget(context: CoreContext, organisationId: string): Task<AdminReply> {
  const budgetKey = `budget/${organisationId}`;
  const sharePrefix = `share/${organisationId}/`;
  const rows = yield* readRows(context, [budgetKey]);
  const shares = rows === undefined ? undefined : yield* scanRows(context, sharePrefix);
  if (rows === undefined || shares === undefined) {
    return storeUnavailable(Verdict.DidNotRun, 'The budget could not be read. Try again later.');
  }
  const budget = objectValue(rows.get(budgetKey));
  if (budget === undefined) {
    return notFound(`Organisation "${organisationId}" has no budget row.`);
  }
  return accepted({
    organisationId,
    ...budget,
    shares: [...shares.values()].map((row) => ({
      incarnationId: row.key.slice(sharePrefix.length),
      ...objectValue(row),
    })),
  });
}

function asObject(value: JsonValue): Readonly<Record<string, JsonValue>> {
  return value as Readonly<Record<string, JsonValue>>;
}
