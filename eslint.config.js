import eslint from '@eslint/js';
import regexp from 'eslint-plugin-regexp';
import tseslint from 'typescript-eslint';
import { houseRules } from './eslint-rules/index.js';

const packageFiles = ['packages/*/src/**/*.ts', 'packages/*/test/**/*.ts', 'platform/{src,test}/**/*.ts'];

export default tseslint.config(
  { ignores: ['**/dist/**', 'node_modules/**', 'target/**', 'journal/**'] },
  {
    files: packageFiles,
    extends: [
      eslint.configs.recommended,
      tseslint.configs.strictTypeChecked,
      tseslint.configs.stylisticTypeChecked,
    ],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    plugins: { house: houseRules, regexp },
    rules: {
      'house/function-verbs': 'error',
      'house/import-boundaries': 'error',
      'house/no-enums': 'error',
      'no-restricted-imports': [
        'error',
        { patterns: ['@laburnumshift/*/src/*', '@laburnumshift/*/dist/*', '../../*/src/*'] },
      ],
    },
  },
  { files: ['packages/*/src/**/*.ts'], rules: { 'house/no-wire-names': 'error' } },
  {
    // Most patterns run on bytes of other processes, and on the event loop.
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    rules: {
      'regexp/no-super-linear-backtracking': ['error', { report: 'potential' }],
      'regexp/no-super-linear-move': ['error', { report: 'potential' }],
    },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['packages/*/src/**/index.ts', 'platform/src/index.ts'],
    rules: { 'house/one-export': 'error' },
  },
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['packages/clock/src/**', 'packages/test-utils/src/**'],
    rules: { 'house/no-default-clock': 'error' },
  },
  {
    files: ['**/*.js', '**/*.mjs'],
    extends: [eslint.configs.recommended],
    languageOptions: { globals: { process: 'readonly', console: 'readonly', URL: 'readonly' } },
  },
);
