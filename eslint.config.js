import stylistic from '@stylistic/eslint-plugin'
import tseslint from 'typescript-eslint'

// Standard style: no semicolons, two spaces, single quotes, a space before a parameter list.
const standard = stylistic.configs.customize({
  indent: 2,
  quotes: 'single',
  semi: false,
  commaDangle: 'never',
  braceStyle: '1tbs',
  arrowParens: false,
  quoteProps: 'as-needed'
})

export default tseslint.config(
  { ignores: ['**/dist/**', 'target/**', '**/node_modules/**', 'run/**'] },
  ...tseslint.configs.recommended,
  standard,
  {
    rules: {
      '@stylistic/space-before-function-paren': ['error', 'always'],
      '@stylistic/operator-linebreak': ['error', 'after', { overrides: { '?': 'before', ':': 'before', '|': 'before', '&': 'before' } }],
      '@stylistic/member-delimiter-style': ['error', { multiline: { delimiter: 'none' }, singleline: { delimiter: 'comma', requireLast: false } }],
      '@stylistic/max-statements-per-line': ['error', { max: 1 }],
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'separate-type-imports' }],
      '@typescript-eslint/no-explicit-any': 'error',
      'no-var': 'error',
      'prefer-const': 'error',
      eqeqeq: ['error', 'always', { null: 'ignore' }],
      curly: ['error', 'multi-line']
    }
  },
  {
    files: ['**/*.spec.ts'],
    rules: { '@typescript-eslint/no-unused-expressions': 'off' }
  }
)
