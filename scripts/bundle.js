// Bundles the platform's entry point into one file; start-up time and memory follow from its size.
import { build } from 'esbuild'

await build({
  entryPoints: ['platform/dist/main.js'],
  outfile: 'target/cranberryyard.cjs',
  bundle: true,
  platform: 'node',
  target: 'node20',
  format: 'cjs',
  minifySyntax: true,
  minifyWhitespace: true,
  legalComments: 'none',
  logLevel: 'warning'
})
