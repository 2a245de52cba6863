import type { CommandOutcome } from '../commandOutcome.ts';
import { failure, success } from '../commandOutcome.ts';
import type { AdminTarget, ShownSection } from './adminTarget.ts';
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
  const shown = fetched.value.filter((section) => name === undefined || section.name === name);
  if (name !== undefined && shown.length === 0) {
    return failure(`Section "${name}" is not stored yet; its base version is 0.`);
  }
  const output =
    name === undefined ? shown.map(asDocumentPart).join('') : shown.map(({ text }) => text).join('');
  return success(output, shown.map(describeVersion).join('\n'));
}

function describeVersion({ name, version, changedBy, changedAtMs }: ShownSection): string {
  return `${name}: version ${version}, changed by ${changedBy} at ${new Date(changedAtMs).toISOString()}`;
}

/** A list in flow style must be indented below its name; one in block style keeps its own indentation. */
function asDocumentPart({ name, text }: ShownSection): string {
  const block = /^\s*(?:#.*\n\s*)*-/.test(text);
  const body = block ? text : text.replaceAll(/^(?=.)/gm, '  ');
  return `${name}:\n${body}${body === '' || body.endsWith('\n') ? '' : '\n'}`;
}
