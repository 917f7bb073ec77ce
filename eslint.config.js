import fs from 'node:fs';
import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

/** Reads the verbs that function names may start with from docs/VERBS.md. */
function readVerbs() {
  const page = fs.readFileSync(
    new URL('docs/VERBS.md', import.meta.url),
    'utf8',
  );
  const list = page.split('## List')[1].split('## ')[0];
  return [...list.matchAll(/`([a-z]+)`/g)].map((match) => match[1]);
}

const VERB_PATTERN = `^(${readVerbs().join('|')})([A-Z0-9].*)?$`;

export default tseslint.config(
  {
    ignores: [
      'target/**',
      '**/dist/**',
      '**/generated/**',
      '**/node_modules/**',
    ],
  },
  eslint.configs.recommended,
  {
    files: ['**/*.ts'],
    extends: [...tseslint.configs.recommended],
    languageOptions: {
      parserOptions: {
        project: ['packages/*/tsconfig.json', 'platform/tsconfig.json'],
        tsconfigRootDir: import.meta.dirname,
      },
    },
    rules: {
      '@typescript-eslint/no-explicit-any': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/no-misused-promises': [
        'error',
        {checksVoidReturn: false},
      ],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/no-unused-vars': ['error', {caughtErrors: 'none'}],
      'no-restricted-syntax': [
        'error',
        {selector: 'ExportDefaultDeclaration', message: 'Use named exports.'},
        {selector: 'PrivateIdentifier', message: 'Use private, not #.'},
        {selector: 'TSEnumDeclaration[const=true]', message: 'No const enum.'},
      ],
      'max-lines': [
        'error',
        {max: 500, skipBlankLines: true, skipComments: true},
      ],
      'max-lines-per-function': [
        'error',
        {max: 70, skipBlankLines: true, skipComments: true},
      ],
      'prefer-const': 'error',
      eqeqeq: ['error', 'always', {null: 'ignore'}],
      '@typescript-eslint/naming-convention': [
        'error',
        {
          selector: 'default',
          format: ['camelCase'],
          leadingUnderscore: 'forbid',
          trailingUnderscore: 'forbid',
        },
        {selector: 'import', format: null},
        {selector: 'objectLiteralProperty', format: null},
        {selector: 'objectLiteralMethod', format: null},
        {selector: 'typeProperty', format: null},
        {selector: 'variable', format: ['camelCase', 'UPPER_CASE']},
        {selector: 'enumMember', format: ['UPPER_CASE']},
        {
          selector: 'classProperty',
          modifiers: ['readonly'],
          format: ['camelCase', 'UPPER_CASE'],
        },
        {selector: 'typeLike', format: ['PascalCase']},
        {
          selector: 'function',
          format: ['camelCase'],
          custom: {regex: VERB_PATTERN, match: true},
        },
        {
          selector: 'classMethod',
          format: ['camelCase'],
          custom: {regex: VERB_PATTERN, match: true},
        },
      ],
    },
  },
  {
    files: ['**/tests/**/*.ts'],
    rules: {
      'max-lines-per-function': 'off',
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
  {
    files: [
      'scripts/**/*.mjs',
      'platform/*.mjs',
      'eslint.config.js',
      'packages/*/bin/*.js',
    ],
    languageOptions: {
      globals: {
        process: 'readonly',
        console: 'readonly',
        URL: 'readonly',
        setTimeout: 'readonly',
      },
    },
  },
  prettier,
);
