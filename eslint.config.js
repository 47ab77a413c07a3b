import tseslint from 'typescript-eslint';

// The users' own words stand for these (design 12): deny, let in, area, relay, horizon, mapping, reply, alarm, shot, sender, liveness.
// `lease` is the field's word for what edges hold: `term` stands there beside a log's term and would hide it.
const strangeWords = ['refus', 'admit', 'zone', 'forward', 'deadline', 'route', 'answer', 'timer', 'attempt', 'client', 'health'];
const capitals = strangeWords.map((word) => word[0].toUpperCase() + word.slice(1));
const strange = `/^(${strangeWords.join('|')})|(^|[a-z])(${capitals.join('|')})/`;
const strangeMessage =
  'a word of the house stands for this one: deny, let in, area, relay, horizon, mapping, reply, alarm, shot, term, sender or liveness';

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
        {
          selector: `:matches(VariableDeclarator, FunctionDeclaration, TSTypeAliasDeclaration, ClassDeclaration) > Identifier.id[name=${strange}]`,
          message: strangeMessage,
        },
        {
          selector: `:matches(FunctionDeclaration, FunctionExpression, ArrowFunctionExpression) > Identifier.params[name=${strange}]`,
          message: strangeMessage,
        },
        {
          selector: `:matches(TSPropertySignature, Property[parent.type="ObjectExpression"]) > Identifier.key[name=${strange}]`,
          message: strangeMessage,
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
      'no-restricted-syntax': [
        'error',
        { selector: 'ClassDeclaration', message: 'object literals as modules' },
        {
          selector: `:matches(VariableDeclarator, FunctionDeclaration, TSTypeAliasDeclaration) > Identifier.id[name=${strange}]`,
          message: strangeMessage,
        },
        {
          selector: `:matches(FunctionDeclaration, FunctionExpression, ArrowFunctionExpression) > Identifier.params[name=${strange}]`,
          message: strangeMessage,
        },
      ],
    },
  },
);
