import type { ConfigurationIssue } from '@pimentostall/core';
import { formatIssues, splitSections } from '@pimentostall/settings';
import type { CommandOutcome } from '../commandOutcome.ts';
import { failure, success } from '../commandOutcome.ts';
import type { HttpResponse } from '../httpClient.ts';
import { sendHttpRequest } from '../httpClient.ts';
import { readTextFile } from '../readTextFile.ts';
import type { AdminTarget } from './adminTarget.ts';
import { describeProblem } from './adminTarget.ts';

/**
 * A change whose response was lost is retried with the same change ID, so that it is applied at most once.
 */
const MAX_TRIES = 3;

export interface ApplySetup {
  readonly target: AdminTarget;
  readonly file: string;
  readonly section: string;
  readonly baseVersion: number;
  readonly changeId: string;
}

interface SectionSource {
  readonly text: string;
  readonly linesBefore: number;
}

/** Applies a section from a file that holds the section's list or the whole document. */
export async function applySection(setup: ApplySetup): Promise<CommandOutcome> {
  const read = readTextFile(setup.file);
  if (read.isErr()) {
    return read.error;
  }
  const source = findSection(read.value, setup.section);
  const query = new URLSearchParams({ baseVersion: String(setup.baseVersion), changeId: setup.changeId });
  const path = `/v1/config/sections/${encodeURIComponent(setup.section)}?${query.toString()}`;
  let problem = '';
  for (let tries = 0; tries < MAX_TRIES; tries += 1) {
    const response = await sendHttpRequest({ ...setup.target, method: 'PUT', path, body: source.text });
    if (response.isOk() && response.value.status !== 503) {
      return describeResponse(setup, source, response.value);
    }
    problem = response.isOk() ? describeProblem(response.value) : response.error;
  }
  return failure(`${problem}\nRetry with --change-id ${setup.changeId}; the change is applied at most once.`);
}

function findSection(text: string, name: string): SectionSource {
  const split = splitSections(text).unwrapOr([]);
  return split.find((section) => section.name.valueOf() === name) ?? { text, linesBefore: 0 };
}

function describeResponse(setup: ApplySetup, source: SectionSource, response: HttpResponse): CommandOutcome {
  if (response.status === 200) {
    const { revision, version } = response.body;
    return success(`${setup.section}: version ${String(version)}, revision ${String(revision)}`);
  }
  const issues = (response.body.faults ?? []) as readonly ConfigurationIssue[];
  const locatedIssues = issues.map((issue) =>
    issue.section.valueOf() === setup.section
      ? { ...issue, file: setup.file, line: issue.line + source.linesBefore }
      : issue,
  );
  return failure(locatedIssues.length > 0 ? formatIssues(locatedIssues) : describeProblem(response));
}
