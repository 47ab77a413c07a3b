import tseslint from 'typescript-eslint';

export default tseslint.config(
  { ignores: ['**/build/**', '**/node_modules/**', 'scratch/**', 'data/**', 'target/**'] },
  ...tseslint.configs.recommended,
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
    rules: {
      'func-style': ['error', 'declaration'],
      'max-lines': ['error', { max: 700, skipBlankLines: true, skipComments: true }],
      'no-restricted-syntax': [
        'error',
        {
          selector: 'ClassDeclaration:not([superClass.name="Command"])',
          message: 'object literals as modules; classes only where oclif forces them',
        },
      ],
      'id-length': ['error', { min: 2, properties: 'never', exceptions: ['_'] }],
      eqeqeq: 'error',
      'prefer-const': 'error',
      '@typescript-eslint/no-floating-promises': 'error',
      '@typescript-eslint/prefer-readonly': 'error',
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_', varsIgnorePattern: '^_' }],
    },
  },
  {
    // The adapter names the platform's fields as the platform does; its own names are the house's.
    files: ['platform/src/**/*.ts'],
    rules: {
      'no-restricted-syntax': ['error', { selector: 'ClassDeclaration', message: 'object literals as modules' }],
    },
  },
);
