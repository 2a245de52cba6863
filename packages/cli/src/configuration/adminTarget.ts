import type { Result } from 'neverthrow';
import { err, ok } from 'neverthrow';
import type { CommandOutcome } from '../commandOutcome.ts';
import { failure, usage } from '../commandOutcome.ts';
import type { HttpResponse } from '../httpClient.ts';
import { sendHttpRequest } from '../httpClient.ts';

/** The router that an operator talks to, and the operator's key. */
export interface AdminTarget {
  readonly address: string;
  readonly key: string;
}

export function createAdminTarget(
  address: string | undefined,
  key: string | undefined,
): Result<AdminTarget, CommandOutcome> {
  if (address === undefined) {
    return err(usage('Option --admin IP:PORT is missing: the administration address of any router.'));
  }
  if (key === undefined || key === '') {
    return err(usage('Environment variable PIMENTOSTALL_KEY is not set: it holds the operator key.'));
  }
  return ok({ address, key });
}

/** A section as the administration API returns it. */
export interface SectionDetails {
  readonly name: string;
  readonly version: number;
  readonly text: string;
  readonly changedBy: string;
  readonly changedAtMs: number;
}

export async function fetchSections(
  target: AdminTarget,
): Promise<Result<readonly SectionDetails[], CommandOutcome>> {
  const response = await sendHttpRequest({ ...target, method: 'GET', path: '/v1/config' });
  if (response.isErr()) {
    return err(failure(response.error));
  }
  return response.value.status === 200
    ? ok(response.value.body.sections as readonly SectionDetails[])
    : err(failure(describeProblem(response.value)));
}

/** Formats problem details as one line. */
export function describeProblem({ status, body }: HttpResponse): string {
  const { title = 'No details', detail = '', verdict = 'unknown' } = body;
  return `${String(title)} (status ${status}, verdict ${String(verdict)}): ${String(detail)}`;
}
