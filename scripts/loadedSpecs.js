// Mocha hook that fails a run of all tests if a compiled spec file has added no test: mocha goes on without a file whose import fails.
import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { join } from 'node:path'

const ROOT = fileURLToPath(new URL('..', import.meta.url))
const PACKAGE_FOLDERS = [...readdirSync(join(ROOT, 'packages')).map(name => join(ROOT, 'packages', name)), join(ROOT, 'platform')]

function specFilesBelow (folder) {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name)
    if (entry.isDirectory()) return specFilesBelow(path)
    return entry.name.endsWith('.spec.js') ? [path] : []
  })
}

function filesOfTests (suite) {
  return [...suite.tests.map(test => test.file), ...suite.suites.flatMap(filesOfTests)]
}

/** @returns the folders of whose spec files all were to be run, as told by the patterns of the command line */
function foldersOfRun () {
  return PACKAGE_FOLDERS.filter(folder => process.argv.some(argument => argument.includes('*') && (join(folder, 'dist', '**', '*.spec.js')).startsWith(join(ROOT, argument.split('*')[0]))))
}

export const mochaHooks = {
  beforeAll () {
    const loaded = new Set(filesOfTests(this.test.parent))
    const missing = foldersOfRun().flatMap(folder => specFilesBelow(join(folder, 'dist'))).filter(file => !loaded.has(file))
    if (missing.length > 0) throw new Error(`spec files without a test, whose import may have failed:\n${missing.join('\n')}`)
  }
}
