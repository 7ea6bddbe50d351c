// Bundles the platform's entry point into one file; start-up time and memory follow from its size.
import { build } from 'esbuild'
import { fileURLToPath } from 'node:url'

/** What goes into the bundle instead of a package or one of its modules, by the name under which it is imported. */
const PARTS = {
  undici: 'undici.js',
  'prom-client': 'promClient.js',
  './client-h2.js': 'none.js'
}

const parts = {
  name: 'parts',
  setup ({ onResolve }) {
    onResolve({ filter: /^(undici|prom-client|\.\/client-h2\.js)$/ }, ({ path }) => ({
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
