import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { StoredSection } from '@pimentostall/core';
import { SectionName } from '@pimentostall/core';
import fc from 'fast-check';
import {
  formatIssues,
  parseConfigurationDocument,
  parseConfigurationSections,
  parseRouterSettings,
  splitSections,
} from '../index.ts';

const DOCUMENT = `organisations: # schools
  - organisationId: karibu-school
    keySha256: [${'ab'.repeat(32)}]
budgets:
  - organisationId: karibu-school
    topUps:
      - { topUpId: first, amountMicros: 50 }
services:
  - { kind: model, serviceId: assistant, models: [small] }
  - kind: plain
    serviceId: orders
    addresses: [127.1.0.50:8500]
    honoursKey: false
    operations:
      - { method: POST, pathPrefix: /orders, idempotent: false, classId: chat, priceMicros: 2 }
      - { method: GET, pathPrefix: /stock, idempotent: true, classId: chat, priceMicros: 1 }
rules: [{ model: small, classId: chat, promptMicrosPerToken: 2, outputMicrosPerToken: 1, maxOutputTokens: 5 }]
classes:
  - { classId: chat, priority: 10, batch: false, maxQueued: 100, deadlineMs: 30000 }
engines:
  - { engineId: e1, address: 127.1.0.31:8400, region: near, availabilityZone: near-a, models: [small],
      maxConcurrent: 16, honoursFencing: true }
`;

function formattedIssues(change: (text: string) => string): string {
  const text = change(DOCUMENT);
  assert.notEqual(text, DOCUMENT);
  return formatIssues(parseConfigurationDocument(text, 'f.yaml')._unsafeUnwrapErr());
}

function storedSections(text: string): StoredSection[] {
  return splitSections(text)
    ._unsafeUnwrap()
    .map((section) => ({ ...section, version: 1, changedBy: 'ana', changedAtMs: 0, changeId: 'c' }));
}

// Guards against sections that change their meaning when they are stored separately.
test('a document and its split sections parse to the same value', () => {
  const whole = parseConfigurationDocument(DOCUMENT)._unsafeUnwrap();
  assert.equal(whole.organisations[0]?.entryWeight, 1);
  assert.equal(whole.engines[0]?.models[0], 'small');
  assert.deepEqual(parseConfigurationSections(storedSections(DOCUMENT))._unsafeUnwrap(), whole);
});

// Guards against issues that an operator cannot locate in a long document.
test('issues name the file, line, column, field, expected value and most similar known field', () => {
  assert.equal(
    formattedIssues((text) => text.replace('amountMicros: 50', 'amountMicros: -1')),
    'f.yaml:7:41 budgets[0].topUps[0].amountMicros: expected an integer of at least 1; correct the value',
  );
  const unknown = formattedIssues((text) => text.replace('honoursKey', 'honorsKey'));
  assert.match(unknown, /f\.yaml:13:5 services\[1\]\.honorsKey: .*write "honoursKey"/);
  assert.match(unknown, /services\[1\]\.honoursKey: expected true or false; add the field/);
  assert.match(
    formattedIssues((text) => text.replace('rules:', 'rule:')),
    /f\.yaml:17:1 rule: .*"rules"/,
  );
  assert.match(
    formattedIssues((text) => text.replace('priority: 10', 'priority: x')),
    /f\.yaml:19:32 /,
  );
});

// Guards against accepting sections that are valid individually but inconsistent with each other.
test('references and duplicates are checked across the document', () => {
  const cases: readonly [string, string, RegExp][] = [
    [
      'budgets:\n  - organisationId: karibu',
      'budgets:\n  - organisationId: other',
      /:5:21 budgets\[0\]\.organ/,
    ],
    ['small, classId: chat', 'small, classId: batch', /:17:34 rules\[0\]\.classId/],
    ['models: [small],\n', 'models: [],\n', /services\[0\]\.models\[0\]: .*engine/],
    ['rules: [{ model: small', 'rules: [{ model: large', /services\[0\]\.models\[0\]: .*price/],
    ['method: GET, pathPrefix: /stock', 'method: POST, pathPrefix: /orders/9', /operations\[1\]\.pathPrefix/],
    [
      'classes:\n',
      'classes:\n  - { classId: chat, priority: 1, batch: true, maxQueued: 1, deadlineMs: 1 }\n',
      /unique/,
    ],
  ];
  for (const [from, to, expected] of cases) {
    assert.match(
      formattedIssues((text) => text.replace(from, to)),
      expected,
    );
  }
});

// Guards against input that throws in a router or a check, or whose issues have no position.
test('no input throws, and every issue has a position, expectation and advice', () => {
  const pieces = fc.constantFrom(
    '- ',
    '{',
    '}',
    '[',
    ']',
    ': ',
    '&a ',
    '*a',
    '<<: ',
    '\n',
    '  ',
    '? ',
    '|',
    '>',
    '"',
    "'",
    '#',
    '%YAML 9',
    '---\n',
    '...\n',
    '!!map ',
    '__proto__',
    'budgets:\n',
    'classes:',
    'kind: plain',
    'kind',
    '\t',
    '\r\n',
    'topUps: ',
    '1e999',
  );
  const text = fc.oneof(
    fc.string(),
    fc.array(pieces, { maxLength: 30 }).map((list) => list.join('')),
  );
  const spliced = fc
    .tuple(text, fc.nat(DOCUMENT.length))
    .map(([piece, at]) => DOCUMENT.slice(0, at) + piece + DOCUMENT.slice(at));
  fc.assert(
    fc.property(fc.oneof(text, spliced), (input) => {
      const section = {
        ...storedSections('classes:\n')[0],
        name: SectionName.Services,
        text: input,
      } as StoredSection;
      const results = [
        parseConfigurationDocument(input),
        parseConfigurationSections([section]),
        parseRouterSettings(input, 'r.yaml'),
      ];
      for (const result of results) {
        for (const issue of result.isErr() ? result.error : []) {
          assert.ok(issue.line >= 1 && issue.column >= 1 && issue.expected !== '' && issue.advice !== '');
        }
      }
    }),
    { seed: 7, numRuns: 1_000 },
  );
});

// Guards against a router that ignores a misspelt option and silently uses the default.
test('router settings are parsed, and an unknown option is an issue', () => {
  const addresses = ['caller', 'peer', 'admin', 'platform'].map((name) => `${name}Address: 127.1.0.1:80\n`);
  const names = 'routerId: r1\nvmId: v1\nregion: near\nstoreRegion: near\navailabilityZone: near-a\n';
  const text = `${names}${addresses.join('')}options:\n  reclaimGraceMs: 5\n`;
  const settings = parseRouterSettings(text, 'r.yaml')._unsafeUnwrap();
  assert.deepEqual(settings.options, { reclaimGraceMs: 5 });
  assert.equal(settings.logLevel, 'info');
  assert.equal(settings.identity.peerAddress, '127.1.0.1:80');
  const issues = parseRouterSettings(
    text.replace('reclaimGrace', 'reclaimGrase'),
    'r.yaml',
  )._unsafeUnwrapErr();
  assert.match(formatIssues(issues), /^r\.yaml:11:3 options\.reclaimGraseMs: .*write "reclaimGraceMs"$/);
});
