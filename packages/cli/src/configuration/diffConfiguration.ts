import { formatIssues, parseConfigurationDocument, splitSections } from '@pimentostall/settings';
import type { CommandOutcome } from '../commandOutcome.ts';
import { failure, success } from '../commandOutcome.ts';
import { readTextFile } from '../readTextFile.ts';
import type { AdminTarget, SectionDetails } from './adminTarget.ts';
import { fetchSections } from './adminTarget.ts';

/** Prints the changes that a document would make, by section. Sections missing from it are left unchanged. */
export async function diffConfiguration(target: AdminTarget, file: string): Promise<CommandOutcome> {
  const read = readTextFile(file);
  if (read.isErr()) {
    return read.error;
  }
  const split = splitSections(read.value, file);
  if (split.isErr()) {
    return failure(formatIssues(split.error));
  }
  const fetched = await fetchSections(target);
  if (fetched.isErr()) {
    return fetched.error;
  }
  const checked = parseConfigurationDocument(read.value, file);
  const parts = split.value.map(({ name, text }) => {
    const stored = fetched.value.find((section) => section.name === name.valueOf());
    return describeChange(name, stored, text);
  });
  return success(parts.join('\n'), checked.isErr() ? formatIssues(checked.error) : '');
}

function describeChange(name: string, stored: SectionDetails | undefined, text: string): string {
  const heading = `${name} (version ${stored?.version ?? 0})`;
  const lines = changedLines(stored?.text ?? '', text);
  return lines.length === 0 ? `${heading}: unchanged` : [`${heading}: changed`, ...lines].join('\n');
}

/** The removed and added lines between the common prefix and the common suffix of both texts. */
export function changedLines(before: string, after: string): string[] {
  const removed = before.trimEnd().split('\n');
  const added = after.trimEnd().split('\n');
  while (removed.length > 0 && added.length > 0 && removed[0] === added[0]) {
    removed.shift();
    added.shift();
  }
  while (removed.length > 0 && added.length > 0 && removed.at(-1) === added.at(-1)) {
    removed.pop();
    added.pop();
  }
  return [...removed.map((line) => `- ${line}`), ...added.map((line) => `+ ${line}`)];
}
