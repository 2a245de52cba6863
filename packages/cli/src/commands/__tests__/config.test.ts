import assert from 'node:assert/strict';
import { mkdtempSync, writeFileSync } from 'node:fs';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { test } from 'node:test';
import cac from 'cac';
import { ExitCode } from '../../exitCodes.ts';
import { checkFile } from '../check.ts';
import { registerConfig, runConfig } from '../config.ts';

const tempDirectory = mkdtempSync(path.join(os.tmpdir(), 'pimentostall-cli-'));

function write(name: string, text: string): string {
  const file = path.join(tempDirectory, name);
  writeFileSync(file, text);
  return file;
}

type Handler = (url: string, body: string, response: ServerResponse) => void;

/** Runs an HTTP server on a loopback port during the body of a test. */
async function serve(handler: Handler, body: (address: string) => Promise<void>): Promise<void> {
  const server = createServer((request: IncomingMessage, response) => {
    let text = '';
    request.on('data', (data: Buffer) => (text += data.toString()));
    request.on('end', () => {
      handler(request.url ?? '', text, response);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  try {
    await body(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.closeAllConnections();
    server.close();
  }
}

// Guards against a check that takes a misspelled document for settings, or exits with success despite an
// error.
test('check reports the kind of file and fails with the locations of issues', () => {
  assert.equal(checkFile(write('ok.yaml', 'classes: []\n')).exitCode, ExitCode.Success);
  const bad = checkFile(write('bad.yaml', 'classes:\n  - { clasId: x }\n'));
  assert.equal(bad.exitCode, ExitCode.Failure);
  assert.match(
    bad.errors,
    /invalid configuration document\n[^]*bad\.yaml:2:7 classes\[0\]\.clasId: .*"classId"/,
  );
  assert.match(checkFile(write('r.yaml', 'routerId: a b\n')).errors, /invalid router settings/);
  assert.equal(checkFile(path.join(tempDirectory, 'none.yaml')).exitCode, ExitCode.Failure);
});

// Guards against a change that is applied twice, or not retried, after one lost response.
test('apply retries a change with the same change ID after a lost response', async () => {
  const receivedRequests: string[] = [];
  const handler: Handler = (url, body, response) => {
    receivedRequests.push(`${url} ${body}`);
    if (receivedRequests.length === 1) {
      response.destroy();
      return;
    }
    response.end(JSON.stringify({ revision: 4, version: 3 }));
  };
  await serve(handler, async (address) => {
    const options = { admin: [address], section: ['classes'], base: ['2'], changeId: ['c7'] };
    const file = write('doc.yaml', 'rules: []\nclasses:\n  - a\n');
    const outcome = await runConfig('apply', file, options, 'key');
    assert.equal(outcome.output, 'classes: version 3, revision 4');
  });
  const sent = '/v1/config/sections/classes?baseVersion=2&changeId=c7   - a\n';
  assert.deepEqual(receivedRequests, [sent, sent]);
});

// Guards against line numbers that count from the section although the operator edits the whole document.
test('apply maps the issues that the router reports to lines of the file', async () => {
  const issue = { section: 'classes', line: 1, column: 3, field: 'classes[0]', expected: 'x', advice: 'y' };
  const handler: Handler = (_url, _body, response) => {
    response.writeHead(422).end(JSON.stringify({ faults: [issue] }));
  };
  await serve(handler, async (address) => {
    const options = { admin: [address], section: ['classes'], base: ['2'] };
    const file = write('doc2.yaml', 'rules: []\nclasses:\n  - a\n');
    const outcome = await runConfig('apply', file, options, 'key');
    assert.equal(outcome.exitCode, ExitCode.Failure);
    assert.equal(outcome.errors, `${file}:3:3 classes[0]: expected x; y`);
  });
});

// Guards against a second bootstrap that overwrites a configuration, and a first that took effect but reports
// failure.
test('bootstrap fails on an existing revision and detects its own after a lost response', async () => {
  let stored: unknown;
  const handler: Handler = (url, body, response) => {
    if (url === '/table/read') {
      response.end(JSON.stringify({ rows: stored === undefined ? [] : [stored] }));
    } else if (stored === undefined) {
      stored = (JSON.parse(body) as { writes: unknown[] }).writes[0];
      response.destroy();
    } else {
      response.writeHead(409).end('{"rows":[]}');
    }
  };
  const operators = write(
    'ops.yaml',
    `- { operatorId: ana, keySha256: ${'0a'.repeat(32)}, sections: [rules] }\n`,
  );
  await serve(handler, async (address) => {
    const run = () =>
      runConfig(
        'bootstrap',
        write('b.yaml', 'rules: []\n'),
        { platform: [address], operators: [operators] },
        '',
      );
    assert.match((await run()).output, /response to its commit was lost/);
    assert.equal((await run()).exitCode, ExitCode.Failure);
  });
});

// Guards against output of get and diff that an operator cannot use for the next change.
test('get prints a document, and diff prints the changed lines by section', async () => {
  const sections = [{ name: 'classes', version: 2, text: '- a\n- b\n', changedBy: 'ana', changedAtMs: 0 }];
  const handler: Handler = (_url, _body, response) => {
    response.end(JSON.stringify({ revision: 1, sections }));
  };
  await serve(handler, async (address) => {
    const options = { admin: [address] };
    assert.equal((await runConfig('get', undefined, options, 'key')).output, 'classes:\n- a\n- b\n');
    const diff = await runConfig('diff', write('d.yaml', 'classes:\n- a\n- c\n'), options, 'key');
    assert.equal(diff.output, 'classes (version 2): changed\n- - b\n+ - c');
    assert.equal((await runConfig('get', undefined, {}, 'key')).exitCode, ExitCode.UsageError);
    assert.equal((await runConfig('get', undefined, options, undefined)).exitCode, ExitCode.UsageError);
  });
});

// Guards against two change IDs that the option parser rounds to the same number: the second change
// would get the response of the first and be lost.
test('a change ID that the option parser would rewrite is rejected', async () => {
  const cli = cac('pimentostall');
  registerConfig(cli);
  for (const changeId of ['007', '1e5', '20261204055612345678']) {
    const line = ['config', 'apply', 'f', '--section', 'rules', '--base', '1', '--change-id', changeId];
    cli.parse(['node', 'pimentostall', ...line], { run: false });
    const outcome = await runConfig('apply', 'f', cli.options, 'key');
    assert.equal(outcome.exitCode, ExitCode.UsageError);
    assert.match(outcome.errors, /--change-id must not be a number/);
  }
  cli.parse(['node', 'pimentostall', 'config', 'get'], { run: false });
  assert.match((await runConfig('get', undefined, cli.options, 'key')).errors, /--admin IP:PORT is missing/);
});
