import { formatIssues, loadRouterSettings } from '@pimentostall/settings';
import type { RunningRouter } from '@pimentostall/shell';
import { startRouter } from '@pimentostall/shell';
import type { CAC } from 'cac';
import { ExitCode } from '../exitCodes.ts';
import { requiredOption } from '../requiredOption.ts';

/** An error in an adapter must end one exchange, never the router, so uncaught errors are logged. */
function logUncaughtErrors(router: RunningRouter): void {
  const log = (cause: unknown): void => {
    router.logger.error({ err: cause }, 'Uncaught error in an adapter. Please report this as a bug.');
  };
  process.on('uncaughtException', log);
  process.on('unhandledRejection', log);
}

function stopOnSignals(router: RunningRouter): void {
  for (const signal of ['SIGTERM', 'SIGINT'] as const) {
    process.on(signal, () => {
      router.logger.info({ signal }, 'Received a signal; the router is stopping');
      router.requestStop();
    });
  }
}

async function run(file: string): Promise<void> {
  const settings = loadRouterSettings(file);
  if (settings.isErr()) {
    process.stderr.write(`${formatIssues(settings.error)}\n`);
    process.exitCode = ExitCode.Failure;
    return;
  }
  const router = await startRouter(settings.value);
  logUncaughtErrors(router);
  stopOnSignals(router);
  await router.exited;
  process.exit(ExitCode.Success);
}

/** `pimentostall router --settings FILE`: runs one router until it is stopped. */
export function registerRouter(cli: CAC): void {
  cli
    .command('router', 'Run a router')
    .option('--settings <file>', 'YAML settings of this router')
    .action((options: { settings?: unknown }) => run(requiredOption(options.settings, '--settings FILE')));
}
