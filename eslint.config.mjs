import tseslint from 'typescript-eslint';

const ioModules = [
  'http',
  'https',
  'net',
  'dgram',
  'fs',
  'fs/promises',
  'child_process',
  'timers',
  'timers/promises',
];

/** Names of the users' wire: only platform/ may know them. */
const wireNames =
  '/^(x-attempt-id|x-response-signature|x-expected-instance|x-not-executed|x-token-usage|x-prompt-prefix|x-tenant|x-api-key|rows-tx|expected-revision|row-version|table-name)$/i';

export default tseslint.config(
  { ignores: ['**/node_modules/**', 'dist/**', 'target/**', 'packages/shell/src/generated/**', '**/*.mjs'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      // Parameters that an interface prescribes but a function does not need start with an underscore.
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      // Generators that only compose other generators are common in the controllers.
      'require-yield': 'off',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // node:test returns promises that the runner itself awaits.
    files: ['**/__tests__/**'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
  {
    // Decisions must be drivable by any bench, clock and network, so they may not reach outside by themselves.
    files: ['packages/core/src/**/*.ts', 'packages/gateway/src/**/*.ts'],
    ignores: ['packages/*/src/**/__tests__/**', 'packages/gateway/src/http/**'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: [...ioModules, ...ioModules.map((name) => `node:${name}`), 'undici'],
          patterns: ['@grpc/*'],
        },
      ],
      'no-restricted-globals': [
        'error',
        'performance',
        'process',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'fetch',
        'crypto',
      ],
      'no-restricted-properties': [
        'error',
        { object: 'Date', property: 'now', message: 'Use the clock of the current step.' },
        { object: 'Math', property: 'random', message: 'Use the injected random source.' },
      ],
      'no-restricted-syntax': [
        'error',
        {
          selector: "NewExpression[callee.name='Date'][arguments.length=0]",
          message: 'Use the clock of the current step.',
        },
      ],
    },
  },
  {
    files: ['packages/gateway/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: `Literal[value=${wireNames}]`,
          message: 'Only platform/ knows the names of the wire; use a typed field.',
        },
        {
          selector: "NewExpression[callee.name='Date'][arguments.length=0]",
          message: 'Use the injected clock.',
        },
      ],
    },
  },
);
