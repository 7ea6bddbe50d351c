// Bundles the platform's entry point into one file. Start-up time and memory grow with the size of the bundle, so a few
// packages and modules are replaced by the small files in `parts/`, which export only what the platform uses.
import { build } from 'esbuild'
import { fileURLToPath } from 'node:url'

/** File in `parts/` that replaces a package or one of its modules, by the name under which it is imported. */
const REPLACEMENTS = {
  undici: 'undici.js',
  'prom-client': 'promClient.js',
  './client-h2.js': 'none.js'
}

const replacementPlugin = {
  name: 'parts',
  setup ({ onResolve }) {
    onResolve({ filter: /^(undici|prom-client|\.\/client-h2\.js)$/ }, ({ path }) => ({
      path: fileURLToPath(new URL(`parts/${REPLACEMENTS[path]}`, import.meta.url))
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
  plugins: [replacementPlugin]
})
