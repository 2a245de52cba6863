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

/** Names of the platform's protocol. Only platform/ may use them. */
const wireNames =
  '/^(x-attempt-id|x-response-signature|x-expected-instance|x-not-executed|x-token-usage|x-prompt-prefix|x-tenant|x-api-key|server-leaving|rows-tx|expected-revision|row-version|table-name)$/i';

export default tseslint.config(
  { ignores: ['**/node_modules/**', 'dist/**', 'target/**', 'packages/shell/src/generated/**', '**/*.mjs'] },
  ...tseslint.configs.strictTypeChecked,
  ...tseslint.configs.stylisticTypeChecked,
  {
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      '@typescript-eslint/consistent-type-imports': 'error',
      // Parameters that an interface requires but a function does not use start with an underscore.
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/switch-exhaustiveness-check': [
        'error',
        { considerDefaultExhaustiveForUnions: true },
      ],
      '@typescript-eslint/restrict-template-expressions': [
        'error',
        { allowNumber: true, allowBoolean: true },
      ],
      // Controllers often have generators that only delegate to other generators.
      'require-yield': 'off',
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    // The test runner of node:test awaits the promises that test() returns.
    files: ['**/__tests__/**'],
    rules: { '@typescript-eslint/no-floating-promises': 'off' },
  },
  {
    // Simulations, benchmarks and tests run this code with their own clock, network and random source, so it may
    // not access those of the process.
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
          message: "Only platform/ may use names of the platform's protocol; use a typed field.",
        },
        {
          selector: "NewExpression[callee.name='Date'][arguments.length=0]",
          message: 'Use the injected clock.',
        },
      ],
    },
  },
);
