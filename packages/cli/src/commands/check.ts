import { parseSectionName } from '@pimentostall/core';
import { formatIssues, parseConfigurationDocument, parseRouterSettings } from '@pimentostall/settings';
import type { CAC } from 'cac';
import { isMap, isScalar, parseDocument } from 'yaml';
import type { CommandOutcome } from '../commandOutcome.ts';
import { failure, finish, success } from '../commandOutcome.ts';
import { readTextFile } from '../readTextFile.ts';

/** Adds `check FILE`, which validates a settings file or a configuration document without a running fleet. */
export function registerCheck(cli: CAC): void {
  cli
    .command('check <file>', 'Check a settings file or a configuration document')
    .action((file: string) => finish(checkFile(file)));
}

export function checkFile(file: string): CommandOutcome {
  const read = readTextFile(file);
  if (read.isErr()) {
    return read.error;
  }
  const isDocument = isConfigurationDocument(read.value);
  const kind = isDocument ? 'configuration document' : 'router settings';
  const checked = isDocument
    ? parseConfigurationDocument(read.value, file)
    : parseRouterSettings(read.value, file);
  return checked.isOk()
    ? success(`${file}: valid ${kind}`)
    : failure(`${file}: invalid ${kind}\n${formatIssues(checked.error)}`);
}

/** A configuration document names at least one section; settings have none of these fields. */
function isConfigurationDocument(text: string): boolean {
  const { contents } = parseDocument(text);
  return (
    isMap(contents) &&
    contents.items.some(({ key }) => isScalar(key) && parseSectionName(String(key.value)) !== undefined)
  );
}
