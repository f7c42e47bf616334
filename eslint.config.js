import js from '@eslint/js';
import tseslint from 'typescript-eslint';

/** Packages that each package may import; a lower layer never imports a higher one. */
const allowedImports = {
  runtime: [],
  protocol: ['runtime'],
  transport: ['runtime', 'protocol'],
  state: ['runtime', 'protocol', 'transport'],
  coordination: ['runtime', 'protocol', 'transport', 'state'],
  standin: ['runtime', 'protocol', 'transport', 'state'],
  agent: ['runtime', 'protocol', 'transport', 'state', 'coordination'],
  entry: ['runtime', 'protocol', 'transport', 'state', 'coordination'],
};

const layerRules = Object.entries(allowedImports).map(([name, allowed]) => ({
  files: [`packages/${name}/src/**/*.ts`],
  ignores: ['**/__tests__/**', '**/__fixtures__/**'],
  rules: {
    'no-restricted-imports': [
      'error',
      {
        patterns: [
          {
            regex: `^@marigoldfold/(?!(?:${[...allowed, '-'].join('|')})$)`,
            message: `packages/${name} may import only: ${allowed.join(', ') || 'no other package'}.`,
          },
          {regex: '\\.\\./\\.\\./', message: 'Import another package by its name.'},
        ],
      },
    ],
  },
}));

export default tseslint.config(
  {ignores: ['**/dist/**', 'target/**', 'journal/**', '**/node_modules/**', 'coverage/**']},
  js.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.strictTypeChecked, ...tseslint.configs.stylisticTypeChecked],
    languageOptions: {parserOptions: {project: './tsconfig.check.json'}},
    rules: {
      '@typescript-eslint/restrict-template-expressions': ['error', {allowNumber: true}],
      '@typescript-eslint/no-unnecessary-condition': [
        'error',
        {allowConstantLoopConditions: 'only-allowed-literals'},
      ],
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
    },
  },
  {
    files: ['**/__tests__/**/*.ts'],
    rules: {'@typescript-eslint/no-non-null-assertion': 'off'},
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    languageOptions: {globals: {process: 'readonly', console: 'readonly', URL: 'readonly'}},
  },
  ...layerRules,
);
