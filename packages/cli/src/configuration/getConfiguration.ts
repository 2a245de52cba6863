import type { CommandOutcome } from '../commandOutcome.ts';
import { failure, success } from '../commandOutcome.ts';
import type { AdminTarget, SectionDetails } from './adminTarget.ts';
import { fetchSections } from './adminTarget.ts';

/**
 * Prints one section's text, or all sections as one document. Versions go to standard error, so that
 * redirected output holds only YAML.
 */
export async function getConfiguration(
  target: AdminTarget,
  name: string | undefined,
): Promise<CommandOutcome> {
  const fetched = await fetchSections(target);
  if (fetched.isErr()) {
    return fetched.error;
  }
  const selected = fetched.value.filter((section) => name === undefined || section.name === name);
  if (name !== undefined && selected.length === 0) {
    return failure(`Section "${name}" is not stored yet; its base version is 0.`);
  }
  const output =
    name === undefined
      ? selected.map(formatDocumentSection).join('')
      : selected.map(({ text }) => text).join('');
  return success(output, selected.map(describeVersion).join('\n'));
}

function describeVersion({ name, version, changedBy, changedAtMs }: SectionDetails): string {
  return `${name}: version ${version}, changed by ${changedBy} at ${new Date(changedAtMs).toISOString()}`;
}

/** A list in flow style must be indented below its name; one in block style keeps its own indentation. */
function formatDocumentSection({ name, text }: SectionDetails): string {
  const isBlockStyle = /^\s*(?:#.*\n\s*)*-/.test(text);
  const body = isBlockStyle ? text : text.replaceAll(/^(?=.)/gm, '  ');
  return `${name}:\n${body}${body === '' || body.endsWith('\n') ? '' : '\n'}`;
}
