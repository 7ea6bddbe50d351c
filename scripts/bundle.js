// Bundles the platform's entry point into one file; start-up time and memory follow from its size.
import { build } from 'esbuild'
import { fileURLToPath } from 'node:url'

/** Packages of which only a part goes into the bundle, by exact name. */
const PARTS = {
  'undici': 'undici.cjs',
  'prom-client': 'promClient.cjs',
  '@grpc/proto-loader': 'none.cjs'
}

const parts = {
  name: 'parts',
  setup ({ onResolve }) {
    onResolve({ filter: /^(undici|prom-client|@grpc\/proto-loader)$/ }, ({ path }) => ({
      path: fileURLToPath(new URL(`parts/${PARTS[path]}`, import.meta.url))
    }))
  }
}

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
  logLevel: 'warning',
  plugins: [parts]
})
