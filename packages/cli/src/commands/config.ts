import { randomUUID } from 'node:crypto';
import type { CAC } from 'cac';
import type { CommandOutcome } from '../commandOutcome.ts';
import { finish, usage } from '../commandOutcome.ts';
import { createAdminTarget } from '../configuration/adminTarget.ts';
import { applySection } from '../configuration/applySection.ts';
import { bootstrapConfiguration } from '../configuration/bootstrapConfiguration.ts';
import { diffConfiguration } from '../configuration/diffConfiguration.ts';
import { getConfiguration } from '../configuration/getConfiguration.ts';

/** Options as cac parses them. cac rewrites values that look like numbers, such as `007` to `7`. */
export interface ConfigOptions {
  readonly admin?: readonly string[];
  readonly section?: readonly string[];
  readonly base?: readonly string[];
  readonly changeId?: readonly string[];
  readonly platform?: readonly string[];
  readonly operators?: readonly string[];
}

const STRING_OPTION = { type: [String] };

/** Adds `config get|diff|apply|bootstrap`. */
export function registerConfig(cli: CAC): void {
  cli
    .command('config <action> [target]', 'Read or change the configuration: get, diff, apply or bootstrap')
    .option('--admin <address>', 'Administration address IP:port of a router', STRING_OPTION)
    .option('--section <name>', 'Section to change', STRING_OPTION)
    .option('--base <version>', 'Version that the change is based on', STRING_OPTION)
    .option(
      '--change-id <id>',
      'Identifier of the change; pass it again to retry the same change',
      STRING_OPTION,
    )
    .option('--platform <address>', 'Address IP:port of the platform, for bootstrap', STRING_OPTION)
    .option('--operators <file>', 'Operators of a new installation, for bootstrap', STRING_OPTION)
    .action((action: string, target: string | undefined, options: ConfigOptions) =>
      finish(runConfig(action, target, options, process.env.PIMENTOSTALL_KEY)),
    );
}

export async function runConfig(
  action: string,
  target: string | undefined,
  options: ConfigOptions,
  key: string | undefined,
): Promise<CommandOutcome> {
  switch (action) {
    case 'get':
      return withAdminTarget(options, key, (admin) => getConfiguration(admin, target));
    case 'diff':
      return target === undefined
        ? usage('Usage: config diff FILE --admin IP:PORT')
        : withAdminTarget(options, key, (admin) => diffConfiguration(admin, target));
    case 'apply':
      return runApply(target, options, key);
    case 'bootstrap':
      return runBootstrap(target, options);
    default:
      return usage(`Unknown action "${action}"; use get, diff, apply or bootstrap.`);
  }
}

type AdminAction = (admin: { address: string; key: string }) => Promise<CommandOutcome>;

async function withAdminTarget(
  options: ConfigOptions,
  key: string | undefined,
  action: AdminAction,
): Promise<CommandOutcome> {
  const target = createAdminTarget(firstValue(options.admin), key);
  return target.isErr() ? target.error : action(target.value);
}

async function runApply(
  file: string | undefined,
  options: ConfigOptions,
  key: string | undefined,
): Promise<CommandOutcome> {
  const section = firstValue(options.section);
  const base = firstValue(options.base) ?? '';
  if (file === undefined || section === undefined || !/^\d{1,15}$/.test(base)) {
    return usage('Usage: config apply FILE --section NAME --base VERSION [--change-id ID] --admin IP:PORT');
  }
  const changeId = firstValue(options.changeId) ?? randomUUID();
  if (!Number.isNaN(Number(changeId))) {
    // cac can rewrite two long numbers to the same one; the second change would then get the response of the
    // first.
    return usage('Option --change-id must not be a number; add a letter.');
  }
  return withAdminTarget(options, key, (target) =>
    applySection({ target, file, section, baseVersion: Number(base), changeId }),
  );
}

async function runBootstrap(file: string | undefined, options: ConfigOptions): Promise<CommandOutcome> {
  const platform = firstValue(options.platform);
  const operatorsFile = firstValue(options.operators);
  if (file === undefined || platform === undefined || operatorsFile === undefined) {
    return usage('Usage: config bootstrap FILE --platform IP:PORT --operators FILE');
  }
  return bootstrapConfiguration({ file, platform, operatorsFile, changeId: randomUUID(), nowMs: Date.now() });
}

/** The first value of an option; repeating an option is not an error. */
function firstValue(values: readonly string[] | undefined): string | undefined {
  return values?.[0];
}
