import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ExitCode } from '../exitCodes.ts';
import { runCli } from '../runCli.ts';

async function exitCodeOf(args: readonly string[]): Promise<number> {
  const before = process.exitCode;
  process.exitCode = ExitCode.Success;
  await runCli(args);
  const code = process.exitCode;
  process.exitCode = before;
  return code;
}

// Guards against errors that scripts take for success.
test('wrong usage exits with 2 and a failure with 1', async () => {
  for (const args of [
    [],
    ['bogus'],
    ['--bad'],
    ['router'],
    ['router', '--bad'],
    ['router', 'x', '--settings', 'f'],
  ]) {
    assert.equal(await exitCodeOf(args), ExitCode.UsageError, args.join(' '));
  }
  assert.equal(await exitCodeOf(['stand-in', 'bogus', '--settings', 'f']), ExitCode.UsageError);
  assert.equal(await exitCodeOf(['router', '--settings', '/nonexistent.yaml']), ExitCode.Failure);
  assert.equal(await exitCodeOf(['--version']), ExitCode.Success);
});
